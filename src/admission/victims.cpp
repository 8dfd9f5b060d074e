#include "admission/victims.hpp"

namespace gingerdrift::admission {

namespace {

constexpr double new_start_s = 5;    // what a task needs to start once more
constexpr double just_begun_s = 30;  // for so long a gang counts as only just placed
/// Share of what ran that is lost although the progress is saved: the last piece of work.
constexpr double unsaved_share = 0.02;

/// One task of an array finds a place again by itself, mostly with its image; a gang has to find
/// all of its machines at once, and fetch on each.
double restart_seconds(const job_view& job) {
  return job.gang ? new_start_s + just_begun_s / 2 : new_start_s;
}

/// What stopping one task wastes. A task that has only just been placed is dear, though it has no
/// progress to lose: its image was fetched for nothing, and jobs that were stopped before they
/// could begin, time after time, once kept a full fleet busy with nothing but fetching.
double task_cost(const job_view& job, const placed_task_view& task, time_point now) {
  const double size = job.need.gpus > 0 ? job.need.gpus : job.need.cpus;
  const double restart = restart_seconds(job);
  if (!task.running) return (job.gang ? restart + just_begun_s : restart) * size;
  const double ran = to_seconds(now - task.running_since);
  const double left = to_seconds(job.estimate) - ran;
  double seconds_lost = ran;
  // A stop with enough grace keeps the progress but costs the saving and a new start.
  if (job.checkpoint > duration::zero()) seconds_lost = to_seconds(job.save) + ran * unsaved_share;
  if (!job.gang) return (restart + seconds_lost) * size;
  if (ran < just_begun_s) seconds_lost += just_begun_s - ran;
  // What is about to end gives its room back by itself.
  if (left > 0 && left < just_begun_s) seconds_lost += just_begun_s - left;
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

void running_tasks::build(const cycle_state& cycle) {
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
