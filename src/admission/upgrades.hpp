#pragma once

#include "admission/cycle_state.hpp"
#include "admission/placement_search.hpp"

namespace gingerdrift::admission {

/// Moves running jobs to a better pool by stopping them there and restarting them. Uses only free
/// capacity: an upgrade never preempts other jobs or borrows quota. Requires that, by the estimate
/// of the owner, enough run time remains: the variant deletion delay alone counts from admission
/// and would allow upgrades that stop tasks shortly before they end.
class upgrade_planner {
 public:
  upgrade_planner(cycle_state& cycle, placement_search& placement)
      : cycle_(cycle), placement_(placement) {}
  /// Decides the upgrades of the cycle: adds stops to `cycle_state::result` and reserves machines.
  void run();

 private:
  bool is_eligible(const cycle_job& job) const;
  void upgrade(cycle_job& job);
  std::vector<std::uint32_t> tasks_to_move(const job_view& job, const pool& target) const;
  bool reserve_machines(const cycle_job& job, const pool& target, std::size_t count);

  cycle_state& cycle_;
  placement_search& placement_;
};

}  // namespace gingerdrift::admission
