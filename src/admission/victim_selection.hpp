#pragma once

#include "admission/victims.hpp"

namespace gingerdrift::admission {

/// The victims to stop on one machine so that one more task fits there.
struct machine_preemption_plan {
  /// Free resources once the victims and all other stopping tasks have ended.
  resources free;
  std::vector<victim> victims;
  /// Total cost of the victims.
  double cost = 0;
  /// Usage of each team once the victims have ended.
  std::vector<resources> projected;
};

/// Chooses victims on one machine for a preempting job.
class victim_selector {
 public:
  /// `guaranteed` states that the job fits in the guarantee of its team.
  victim_selector(const cycle_state& cycle, const placed_task_index& placed_tasks,
                  const cycle_job& job, bool guaranteed)
      : cycle_(cycle), placed_tasks_(placed_tasks), job_(job), guaranteed_(guaranteed) {}

  /// Selects the cheapest victims on a machine so that one more task of the job fits there. Returns
  /// nullopt if the job may not preempt enough. `projected` is the usage of each team after the
  /// victims that were selected before. The gangs in `stopping_gangs` are already victims of the
  /// same preemption on another machine, so that their capacity costs nothing here.
  std::optional<machine_preemption_plan> select(std::size_t machine,
                                                const std::vector<resources>& projected,
                                                const std::set<std::size_t>& stopping_gangs) const;

 private:
  std::vector<victim> candidates_on(std::size_t machine) const;
  bool may_preempt(const job_view& other, const std::vector<resources>& projected) const;
  /// Adds the resources that become free on the machine when the victim is stopped.
  void add_freed_capacity(const victim& stopped, std::size_t machine, resources& free) const;

  const cycle_state& cycle_;
  const placed_task_index& placed_tasks_;
  const cycle_job& job_;
  const bool guaranteed_;
};

}  // namespace gingerdrift::admission
