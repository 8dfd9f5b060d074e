#include "admission/victim_selection.hpp"

namespace gingerdrift::admission {

/// Returns the tasks and gangs of other jobs on the machine that were not stopped yet, cheapest
/// first.
std::vector<victim> victim_selector::candidates_on(std::size_t machine) const {
  std::vector<victim> candidates;
  for (const auto& task : placed_tasks_.on(machine)) {
    const job_view& other = *cycle_.jobs[task.job].view;
    if (other.id == job_.view->id || cycle_.stopped_jobs.count(other.id) != 0) continue;
    const bool gang_is_listed =
        other.gang && !candidates.empty() && candidates.back().task.job == task.job;
    if (!gang_is_listed) candidates.push_back(make_victim(other, task, cycle_.input.now));
  }
  sort_by_cost(candidates);
  return candidates;
}

bool victim_selector::may_preempt(const job_view& other,
                                  const std::vector<resources>& projected) const {
  const bool same_team = other.team == job_.view->team;
  const bool borrowed = !same_team && cycle_.quota.is_borrowed(other.team, freed_by_stopping(other),
                                                               projected[other.team]);
  // A job beyond its team's guarantee preempts only tasks of other teams that are also beyond a
  // guarantee. When it was allowed to preempt guaranteed tasks of a lower priority, their team
  // immediately reclaimed its guarantee from this same job, and the two jobs kept stopping each
  // other before either had started, for as long as both waited.
  const bool by_priority = other.level < job_.view->level && (same_team || borrowed || guaranteed_);
  // Arrays don't preempt on grounds of a guarantee. Their tasks are short and end one by one, so
  // that capacity becomes free sooner than preemption could free it, and preempting for each
  // other's guarantees would only waste work.
  const bool by_guarantee = borrowed && job_.view->gang && guaranteed_;
  return by_priority || by_guarantee;
}

void victim_selector::add_freed_capacity(const victim& stopped, std::size_t machine,
                                         resources& free) const {
  for (const auto& task : placed_tasks_.on(machine)) {
    if (task.job != stopped.task.job) continue;
    const job_view& other = *cycle_.jobs[task.job].view;
    if (other.gang || task.place == stopped.task.place) free += other.need;
  }
}

std::optional<machine_preemption_plan> victim_selector::select(
    std::size_t machine, const std::vector<resources>& projected,
    const std::set<std::size_t>& stopping_gangs) const {
  const resources& need = job_.view->need;
  machine_preemption_plan machine_plan{cycle_.capacity.machine(machine).free, {}, 0, projected};
  machine_plan.free += cycle_.capacity.machine(machine).held_by_stopping_tasks;
  if (need.fits_in(machine_plan.free)) return machine_plan;
  const auto candidates = candidates_on(machine);
  for (const auto& candidate : candidates) {
    if (stopping_gangs.count(candidate.task.job) != 0)
      add_freed_capacity(candidate, machine, machine_plan.free);
  }
  for (const auto& candidate : candidates) {
    if (need.fits_in(machine_plan.free)) break;
    if (stopping_gangs.count(candidate.task.job) != 0) continue;
    const job_view& other = *cycle_.jobs[candidate.task.job].view;
    if (!may_preempt(other, machine_plan.projected)) continue;
    add_freed_capacity(candidate, machine, machine_plan.free);
    machine_plan.projected[other.team] -= freed_by_stopping(other);
    machine_plan.cost += candidate.cost;
    machine_plan.victims.push_back(candidate);
  }
  if (!need.fits_in(machine_plan.free)) return std::nullopt;
  return machine_plan;
}

}  // namespace gingerdrift::admission
