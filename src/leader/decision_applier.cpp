#include "leader/decision_applier.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/machine_drain.hpp"

namespace gingerdrift::leader {

decision_applier::decision_applier(job_store::job_table& jobs, workers::reconciler& workers,
                                   cloud::machine_inventory& machines, metrics& metrics,
                                   fencing_token token)
    : jobs_(jobs), workers_(workers), machines_(machines), metrics_(metrics), token_(token) {}

void decision_applier::apply(const admission::decisions& decisions) {
  awaited_machines_ = decisions.needed_machines;
  start_tasks(decisions.starts);
  for (const auto& stop : decisions.stops) stop_tasks(stop);
  if (!decisions.scale_out.empty()) machines_.request_machines(decisions.scale_out);
}

/// Relies on the starts of each job being adjacent in the list.
void decision_applier::start_tasks(const std::vector<admission::start_decision>& starts) {
  for (auto first = starts.begin(); first != starts.end();) {
    const auto last = std::find_if(
        first, starts.end(),
        [first](const admission::start_decision& start) { return start.job != first->job; });
    start_tasks_of_job({first, last});
    first = last;
  }
}

/// Starts each task that may still be started. Of a gang, either all tasks are started or none.
void decision_applier::start_tasks_of_job(std::span<const admission::start_decision> starts) {
  job_store::job* job = jobs_.find(starts.front().job);
  if (job == nullptr) return;
  std::vector<const admission::start_decision*> startable;
  for (const auto& start : starts) {
    if (may_start(*job, start)) startable.push_back(&start);
  }
  if (job->spec().gang && startable.size() < starts.size()) return;
  for (const auto* start : startable) place(*job, *start);
}

bool decision_applier::may_start(const job_store::job& job,
                                 const admission::start_decision& start) {
  const workers::worker* worker = workers_.find(start.machine);
  if (worker == nullptr) return false;
  if (!job.active() || job.is_finalizing()) return false;
  if (job.done().contains(start.task) || job.attempts().count(start.task) != 0) return false;
  return workers_.accepts_tasks(*worker) && !machines_.is_releasing(worker->name) &&
         worker->unknown_tasks.count({job.spec().id, start.task}) == 0;
}

void decision_applier::place(job_store::job& job, const admission::start_decision& start) {
  const attempt_number number = job.allocate_attempt_number(start.task);
  workers_.place(job, start.task, start.machine, number);
  ++metrics_.starts;
  spdlog::debug("task_placed job={} task={} attempt={} machine={} term={}", job.spec().id,
                start.task, number, start.machine, token_);
}

void decision_applier::stop_tasks(const admission::stop_decision& stop) {
  job_store::job* job = jobs_.find(stop.job);
  if (job == nullptr) return;
  const bool upgrade = stop.reason == admission::stop_reason::upgraded;
  ++(upgrade ? metrics_.upgrades : metrics_.preemptions);
  spdlog::info("{} job={} tasks={} for={} term={}", upgrade ? "task_upgraded" : "task_preempted",
               stop.job, stop.tasks.size(), stop.for_job, token_);
  stop_with_time_to_save(workers_, *job, stop.tasks);
}

}  // namespace gingerdrift::leader
