#pragma once

#include "admission/cycle_state.hpp"
#include "admission/placement_search.hpp"
#include "admission/planned_machines.hpp"

namespace gingerdrift::admission {

/// Determines how many machines to rent. Tasks that are still unplaced are packed on machines that
/// are starting, then on machines to rent, in the best pool of each job for which the cloud didn't
/// refuse machines recently. Has to be the last phase of a cycle that changes the shared state,
/// because it counts planned tasks as if they were placed.
class scale_out_planner {
 public:
  scale_out_planner(cycle_state& cycle, placement_search& placement)
      : cycle_(cycle), placement_(placement), planned_(cycle.quota, cycle.result.needed_machines) {}
  /// Writes `scale_out` and `needed_machines` of `cycle_state::result`.
  void run();

 private:
  /// Score of a zone for a gang that is bound to one zone; the highest score is the best.
  struct zone_score {
    /// Number of machines that are starting or have free capacity for a task of the gang.
    std::size_t machines_available = 0;
    /// Negated number of all machines of the pool, so that fewer machines score higher.
    std::int64_t negated_machines = 0;
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
  /// Number of machines in each pool, including those to rent.
  std::map<pool, std::uint32_t> machines_by_pool_;
};

}  // namespace gingerdrift::admission
