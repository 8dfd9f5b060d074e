#pragma once

#include "admission/capacity_index.hpp"
#include "admission/cycle_job.hpp"
#include "admission/quota_ledger.hpp"
#include "admission/reservations.hpp"

namespace gingerdrift::admission {

/// State that the phases of one scheduling cycle share: the current capacity, quota, reservations
/// and jobs, and the decisions made so far. Used by one thread, for one cycle.
struct cycle_state {
  /// `variant_states` and `stored` are the state that a scheduler keeps between cycles. All
  /// arguments have to outlive the cycle.
  cycle_state(const policy& settings, const snapshot& snapshot_of_cycle,
              variant_table& variant_states, reservations_by_machine& stored);
  cycle_state(const cycle_state&) = delete;
  cycle_state& operator=(const cycle_state&) = delete;

  /// Returns the indices of the jobs that have unplaced tasks and don't wait for a preemption, in
  /// queue order.
  std::vector<std::size_t> unplaced_jobs_in_order() const;

  const policy& rules;
  const snapshot& input;
  variant_table& variants;
  capacity_index capacity;
  quota_ledger quota;
  cycle_reservations reservations;
  std::vector<cycle_job> jobs;
  /// Gangs that were preempted and jobs that were upgraded in this cycle.
  std::set<job_id> stopped_jobs;
  decisions result;

 private:
  void add_jobs();
  void add_placed_tasks(cycle_job& job);
};

}  // namespace gingerdrift::admission
