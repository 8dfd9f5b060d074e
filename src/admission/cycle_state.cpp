#include "admission/cycle_state.hpp"

namespace gingerdrift::admission {

cycle_state::cycle_state(const policy& settings, const snapshot& snapshot_of_cycle,
                         variant_table& variant_states, reservations_by_machine& stored)
    : rules(settings),
      input(snapshot_of_cycle),
      variants(variant_states),
      capacity(snapshot_of_cycle),
      quota(snapshot_of_cycle.teams),
      reservations(stored, capacity, snapshot_of_cycle.now, settings.reservation_ttl) {
  add_jobs();
}

void cycle_state::add_jobs() {
  std::set<job_id> job_ids;
  std::set<job_id> waiting_jobs;
  jobs.reserve(input.jobs.size());
  for (const auto& shared_view : input.jobs) {
    const job_view& view = *shared_view;
    job_ids.insert(job_ids.end(), view.id);
    cycle_job job{&view, &variants.refresh(view, input), {}, {}, false};
    const bool placement_suspended = view.placement_suspended || input.now < view.not_before;
    if (!placement_suspended) job.unplaced = view.waiting;
    add_placed_tasks(job);
    // A job that is being upgraded has stopping tasks and none waiting. It counts as waiting
    // already now, so that it keeps its reservations in the better pool.
    const bool has_stopping_tasks =
        std::any_of(view.placed.begin(), view.placed.end(),
                    [](const placed_task_view& task) { return task.stopping; });
    if (!view.waiting.empty() || placement_suspended || has_stopping_tasks)
      waiting_jobs.insert(view.id);
    jobs.push_back(std::move(job));
  }
  variants.retain_only(job_ids);
  reservations.restore(waiting_jobs);
}

/// Counts the tasks that are not proven to have ended: until then, a task counts against the quota,
/// occupies its machine and counts for the zone rules of its job.
void cycle_state::add_placed_tasks(cycle_job& job) {
  const job_view& view = *job.view;
  std::size_t not_stopping = 0;
  for (const auto& task : view.placed) {
    if (view.one_zone || view.spread) ++job.tasks_per_zone[task.pool.zone];
    if (!task.stopping) {
      ++not_stopping;
      continue;
    }
    const auto machine = capacity.find(task.machine);
    if (machine != capacity_index::no_machine)
      capacity.machine(machine).held_by_stopping_tasks += view.need;
  }
  quota.add_placed(view, not_stopping);
}

std::vector<std::size_t> cycle_state::unplaced_jobs_in_order() const {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (!jobs[i].unplaced.empty() && !jobs[i].awaits_preemption) order.push_back(i);
  }
  std::sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
    return precedes(*jobs[left].view, *jobs[right].view);
  });
  return order;
}

}  // namespace gingerdrift::admission
