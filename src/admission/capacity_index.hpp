#pragma once

#include <string_view>
#include <unordered_map>

#include "admission/free_capacity.hpp"
#include "admission/types.hpp"

namespace gingerdrift::admission {

/// The machines of one scheduling cycle and their free capacity, indexed by pool, free capacity and
/// image, so that the cost of a search depends on the number of matches and not on the size of the
/// fleet. Machines and groups are identified by their index. Refers to the snapshot, which has to
/// outlive the index.
class capacity_index {
 public:
  /// A machine and its capacity within this cycle.
  struct machine_slot {
    const machine_view* view = nullptr;
    resources free;
    /// Total resources of the machine type.
    resources size;
    /// Resources that become free once the stopping tasks on the machine have ended.
    resources held_by_stopping_tasks;
    std::size_t group = 0;
    /// Job that the machine is reserved for; null if it isn't reserved.
    const job_id* reserved_for = nullptr;
    bool is_reserved() const { return reserved_for != nullptr; }
    bool is_reserved_for(const job_id& job) const { return is_reserved() && *reserved_for == job; }
  };
  /// The machines of one pool.
  struct pool_group {
    admission::pool pool;
    /// All machines of the pool that accept tasks.
    std::vector<std::size_t> machines;
    /// Those of them that aren't reserved.
    free_capacity_order by_free_capacity;
  };
  /// Index value that means "no machine", like `std::string::npos`.
  static constexpr std::size_t no_machine = ~std::size_t{0};

  explicit capacity_index(const snapshot& input);

  machine_slot& machine(std::size_t index) { return machines_[index]; }
  const machine_slot& machine(std::size_t index) const { return machines_[index]; }
  std::size_t size() const { return machines_.size(); }
  /// Returns the index of a machine, or `no_machine`.
  std::size_t find(const machine_name& name) const;
  const zone_name& zone(std::size_t machine) const { return machines_[machine].view->pool.zone; }

  const pool_group& group(std::size_t index) const { return groups_[index]; }
  /// Returns the groups of machines that a variant with this target may use: one for each zone if
  /// the target has no zone. The list stays valid for the whole cycle.
  const std::vector<std::size_t>& groups_of(const admission::pool& target);
  bool is_in_groups(std::size_t machine, const std::vector<std::size_t>& groups) const {
    return std::find(groups.begin(), groups.end(), machines_[machine].group) != groups.end();
  }
  /// Returns the machines that accept tasks and have the image in their cache, in the order of the
  /// snapshot.
  const std::vector<std::size_t>& machines_with_image(const std::string& image) const;

  /// Reports whether all CPUs and GPUs of the machine are free.
  bool is_empty(std::size_t machine) const {
    return machines_[machine].free.gpus >= machines_[machine].size.gpus &&
           machines_[machine].free.cpus >= machines_[machine].size.cpus;
  }
  /// Returns the key that orders the machine by its free capacity.
  free_capacity_key free_capacity(std::size_t machine) const {
    return {machines_[machine].free.gpus, machines_[machine].free.cpus, machine};
  }
  /// Subtracts the amount from the free resources of the machine; release() adds it again.
  void allocate(std::size_t machine, const resources& amount) {
    change_free(machine, amount.times(-1));
  }
  void release(std::size_t machine, const resources& amount) { change_free(machine, amount); }
  /// Hides the machine from searches of all other jobs for the rest of the cycle. Keeps a pointer
  /// to the identifier.
  void reserve(std::size_t machine, const job_id& job);

 private:
  /// Reports whether the machine is in `pool_group::by_free_capacity`.
  bool is_listed(const machine_slot& slot) const { return !slot.is_reserved() && slot.view->ready; }
  void change_free(std::size_t machine, const resources& change);

  std::vector<machine_slot> machines_;
  std::vector<pool_group> groups_;
  std::unordered_map<std::string_view, std::size_t> index_by_name_;
  std::unordered_map<std::string_view, std::vector<std::size_t>> machines_by_image_;
  std::map<admission::pool, std::vector<std::size_t>> groups_by_target_;
};

}  // namespace gingerdrift::admission
