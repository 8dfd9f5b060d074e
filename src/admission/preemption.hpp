#pragma once

#include <deque>

#include "admission/cycle_state.hpp"
#include "admission/failed_searches.hpp"
#include "admission/placement_search.hpp"
#include "admission/victim_selection.hpp"
#include "admission/victims.hpp"

namespace gingerdrift::admission {

/// Makes capacity for a variant of a job by stopping other tasks: those of a lower priority or, for
/// a gang within the guarantee of its team, those on capacity that other teams use beyond their
/// guarantees. The capacity stays reserved for the job until the victims have ended.
class preemption {
 public:
  preemption(cycle_state& cycle, placement_search& placement)
      : cycle_(cycle), placement_(placement) {}

  /// Tries to preempt other tasks for a variant. Returns true if the job now waits for victims, of
  /// this cycle or of an earlier one, to end.
  bool try_preempt(cycle_job& job, const variant& candidate);

 private:
  /// Victims of one preemption, collected machine by machine.
  struct preemption_plan {
    /// Usage of each team once the victims have ended.
    std::vector<resources> projected;
    /// Machines on which the preempting job will get capacity.
    std::set<std::size_t> machines;
    std::vector<victim> victims;
    /// Indices of the gangs among the victims.
    std::set<std::size_t> stopping_gangs;
    /// Number of tasks that will fit on `machines`.
    std::uint32_t tasks = 0;
  };
  /// A machine and the cost of its cheapest victims. Ordered by cost.
  struct machine_cost {
    double cost;
    std::size_t machine;
    auto operator<=>(const machine_cost&) const = default;
  };

  bool can_have_victims(const cycle_job& job, bool guaranteed) const;
  bool await_earlier_victims(cycle_job& job, const variant& candidate);
  std::optional<std::vector<std::size_t>> machines_of_earlier_victims(const cycle_job& job,
                                                                      const pool& target);
  bool preempt_for_team_limit(cycle_job& job, const variant& candidate);
  std::vector<victim> lower_priority_victims_of_team(const job_view& job) const;
  bool preempt_for_capacity(cycle_job& job, const variant& candidate, bool guaranteed);
  std::deque<std::size_t> cheapest_machines(const cycle_job& job, const pool& target,
                                            const victim_selector& selector);
  preemption_plan plan_victims(const cycle_job& job, const pool& target,
                               const victim_selector& selector);
  void fill_machine(std::size_t machine, resources free, cycle_job& job,
                    preemption_plan& plan) const;
  void prefer_machines_of_gang(const job_view& gang, const cycle_job& job, const pool& target,
                               std::deque<std::size_t>& queue);
  void stop(const victim& victim, const job_view& beneficiary);
  void mark_stopping(const placed_task& task);
  std::vector<std::uint32_t> tasks_of(const victim& victim) const;
  void mark_preempting(cycle_job& job, const variant& candidate) const;

  cycle_state& cycle_;
  placement_search& placement_;
  placed_task_index placed_tasks_;
  failed_searches failed_victim_searches_;
  std::uint32_t victim_searches_ = 0;
};

}  // namespace gingerdrift::admission
