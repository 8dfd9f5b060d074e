#pragma once

#include "admission/cycle_job.hpp"
#include "admission/free_capacity.hpp"
#include "admission/quota_ledger.hpp"

namespace gingerdrift::admission {

/// Machines that are starting or will be rented. Bin packing of waiting tasks on them shows how
/// many machines are missing.
class planned_machines {
 public:
  /// `needed_machines` receives the names of the starting machines that tasks are packed on.
  planned_machines(quota_ledger& quota, std::set<machine_name>& needed_machines)
      : quota_(quota), needed_machines_(needed_machines) {}

  /// Adds a machine; an empty name means that it will be rented.
  void add(const pool& in_pool, const resources& free, const machine_name& name);
  /// Packs at most `tasks` tasks of the job on machines of the pools that the target covers, the
  /// fullest first. Counts the tasks in the quota of the team, and records the starting machines
  /// that they use as needed. Returns the number of packed tasks.
  std::uint32_t pack(cycle_job& job, const pool& target, std::uint32_t tasks);
  /// Returns the number of machines of one pool that have enough GPUs for a task, at most `limit`.
  std::size_t count_candidates(const pool& in_pool, const resources& need, std::size_t limit) const;

 private:
  /// A machine and the capacity that isn't assigned yet.
  struct planned_machine {
    admission::pool pool;
    resources free;
    machine_name name;
  };
  /// Packs at most `tasks` tasks on the machines of one pool; returns the number of packed tasks.
  std::uint32_t pack_pool(free_capacity_order& order, cycle_job& job, std::uint32_t tasks);
  /// Packs at most `tasks` tasks on one machine; returns the number of packed tasks.
  std::uint32_t fill(planned_machine& machine, cycle_job& job, std::uint32_t tasks);

  quota_ledger& quota_;
  std::set<machine_name>& needed_machines_;
  std::vector<planned_machine> machines_;
  std::map<pool, free_capacity_order> by_free_capacity_;
};

}  // namespace gingerdrift::admission
