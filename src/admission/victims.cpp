#include "admission/victims.hpp"

namespace gingerdrift::admission {

namespace {

/// Time that a task needs to start again.
constexpr double restart_s = 5;
/// Time after the start of a gang, and before its expected end, in which stopping it costs extra.
constexpr double protected_window_s = 30;
/// Share of the run time that is lost although the task saves its progress: the most recent work.
constexpr double unsaved_share = 0.02;

/// Returns the restart cost of a task in seconds. A single array task is placed again by itself,
/// mostly on a machine that has its image; a gang needs all of its machines at the same time and
/// has to download its image on each.
double restart_seconds(const job_view& job) {
  return job.gang ? restart_s + protected_window_s / 2 : restart_s;
}

/// Returns the cost of stopping one task. Stopping a gang that was only just placed is expensive
/// although no progress is lost, because its images were downloaded in vain: on a full fleet, jobs
/// that were repeatedly stopped before they could start once kept all machines busy with nothing
/// but downloading images.
double task_cost(const job_view& job, const placed_task_view& task, time_point now) {
  const double size = job.need.gpus > 0 ? job.need.gpus : job.need.cpus;
  const double restart = restart_seconds(job);
  if (!task.running) return (job.gang ? restart + protected_window_s : restart) * size;
  const double ran = to_seconds(now - task.running_since);
  const double left = to_seconds(job.estimate) - ran;
  double seconds_lost = ran;
  // A task that writes checkpoints can save its progress when it is stopped: it loses only the time
  // to save and a small share of its run time.
  if (job.checkpoint > duration::zero()) seconds_lost = to_seconds(job.save) + ran * unsaved_share;
  if (!job.gang) return (restart + seconds_lost) * size;
  if (ran < protected_window_s) seconds_lost += protected_window_s - ran;
  // A gang that is about to end frees its capacity soon without being stopped.
  if (left > 0 && left < protected_window_s) seconds_lost += protected_window_s - left;
  return (restart + seconds_lost) * size;
}

}  // namespace

std::size_t tasks_stopped_together(const job_view& job) { return job.gang ? job.placed.size() : 1; }

resources freed_by_stopping(const job_view& job) {
  return job.need.times(static_cast<double>(tasks_stopped_together(job)));
}

victim make_victim(const job_view& job, placed_task task, time_point now) {
  const auto tasks = static_cast<double>(tasks_stopped_together(job));
  return {task, task_cost(job, job.placed[task.place], now) * tasks};
}

void sort_by_cost(std::vector<victim>& victims) {
  std::stable_sort(victims.begin(), victims.end(),
                   [](const victim& left, const victim& right) { return left.cost < right.cost; });
}

void placed_task_index::build(const cycle_state& cycle) {
  if (built_) return;
  built_ = true;
  by_machine_.resize(cycle.capacity.size());
  for (std::size_t i = 0; i < cycle.jobs.size(); ++i) {
    const auto& placed = cycle.jobs[i].view->placed;
    for (std::size_t place = 0; place < placed.size(); ++place) {
      if (placed[place].stopping) continue;
      const auto machine = cycle.capacity.find(placed[place].machine);
      if (machine != capacity_index::no_machine) by_machine_[machine].push_back({i, place});
    }
  }
}

}  // namespace gingerdrift::admission
