#pragma once

#include "admission/cycle_state.hpp"
#include "admission/placement_search.hpp"
#include "admission/planned_machines.hpp"

namespace gingerdrift::admission {

/// Finds how many machines are missing: what still waits is packed on machines that are starting,
/// then on machines to rent, in the best pool of each job that was not refused lately. Last phase
/// of a cycle that changes its state: it counts planned tasks as if they were placed.
class scale_out_planner {
 public:
  scale_out_planner(cycle_state& cycle, placement_search& placement)
      : cycle_(cycle), placement_(placement), planned_(cycle.quota, cycle.result.needed_machines) {}
  /// Writes `scale_out` and `needed_machines` of the cycle's result.
  void run();

 private:
  /// What a zone offers to a gang bound to one zone; the best one is the greatest.
  struct zone_score {
    std::size_t machines_available = 0;  // with room, or on their way
    std::int64_t negated_machines = 0;   // of the kind there: fewer are better
    auto operator<=>(const zone_score&) const = default;
  };
  void plan(cycle_job& job);
  std::optional<zone_name> best_zone(const cycle_job& job, std::size_t tasks);
  std::uint32_t use_free_machines(cycle_job& job, const pool& target, std::uint32_t tasks);
  std::uint32_t pack_new_machines(cycle_job& job, const pool& target, std::uint32_t tasks);
  std::uint32_t pack_new_machines(cycle_job& job, const pool& target, const machine_type& type,
                                  std::uint32_t tasks);
  std::optional<pool> pool_with_fewest_machines(const machine_type& type, const pool& target,
                                                const cycle_job& job) const;
  std::uint32_t machines_in(const pool& in_pool) const;

  cycle_state& cycle_;
  placement_search& placement_;
  planned_machines planned_;
  std::map<pool, std::uint32_t> machines_by_pool_;  // those to be rented included
};

}  // namespace gingerdrift::admission
