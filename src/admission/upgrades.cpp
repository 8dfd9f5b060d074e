#include "admission/upgrades.hpp"

namespace gingerdrift::admission {

void upgrade_planner::run() {
  for (auto& job : cycle_.jobs) {
    if (is_eligible(job)) upgrade(job);
  }
}

bool upgrade_planner::is_eligible(const cycle_job& job) const {
  const job_view& view = *job.view;
  if (view.estimate < cycle_.rules.upgrade_min_remaining) return false;
  if (!view.waiting.empty() || view.placement_suspended || view.placed.empty()) return false;
  if (cycle_.stopped_jobs.count(view.id) != 0 || view.checkpoint <= duration::zero()) return false;
  const bool all_running =
      std::all_of(view.placed.begin(), view.placed.end(),
                  [](const placed_task_view& task) { return task.running && !task.stopping; });
  return all_running && !cycle_.quota.exceeds_guarantee(view.team);
}

void upgrade_planner::upgrade(cycle_job& job) {
  const job_view& view = *job.view;
  for (const auto& variant : job.admission->variants) {
    if (!variant.active) continue;
    auto tasks = tasks_to_move(view, variant.target);
    if (tasks.empty() || (view.gang && tasks.size() != view.placed.size())) continue;
    if (!reserve_machines(job, variant.target, tasks.size())) continue;
    cycle_.stopped_jobs.insert(view.id);
    cycle_.result.stops.push_back({view.id, std::move(tasks), stop_reason::upgraded, view.id});
    return;
  }
}

/// Returns the tasks that run in another kind of pool and have enough run time left.
std::vector<std::uint32_t> upgrade_planner::tasks_to_move(const job_view& job,
                                                          const pool& target) const {
  std::vector<std::uint32_t> tasks;
  for (const auto& task : job.placed) {
    const duration left = job.estimate - (cycle_.input.now - task.running_since);
    if (task.pool.is_same_kind_as(target) || left < cycle_.rules.upgrade_min_remaining) continue;
    tasks.push_back(task.task);
  }
  return tasks;
}

/// Reserves the machines on which the tasks will restart; the tasks keep their current machines
/// until they have stopped. Returns false and reserves nothing if there are too few machines.
bool upgrade_planner::reserve_machines(const cycle_job& job, const pool& target,
                                       std::size_t count) {
  cycle_job moved_job = job;
  moved_job.tasks_per_zone.clear();
  std::vector<std::size_t> machines;
  while (machines.size() < count) {
    const auto machine = placement_.best_fit(moved_job, target);
    if (machine == capacity_index::no_machine) break;
    cycle_.capacity.allocate(machine, job.view->need);
    ++moved_job.tasks_per_zone[cycle_.capacity.zone(machine)];
    machines.push_back(machine);
  }
  if (machines.size() < count) {
    for (const auto machine : machines) cycle_.capacity.release(machine, job.view->need);
    return false;
  }
  for (const auto machine : machines) cycle_.reservations.reserve(machine, job.view->id);
  return true;
}

}  // namespace gingerdrift::admission
