#include "workers/failure_tracker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::workers {

namespace {
/// A job that fails on so many machines is at fault itself.
constexpr std::size_t failing_job_machines = 3;
/// A job that fails everywhere is still tried once a minute: its machines may have been at fault.
constexpr duration longest_backoff = seconds(60);
constexpr std::uint32_t max_backoff_doublings = 5;
/// After an error that may be the machine's.
constexpr duration shortest_backoff = milliseconds(500);
constexpr duration unknown_exit_backoff = seconds(2);
/// For how long a job passes by a machine on which it failed.
constexpr duration error_memory = seconds(45);
}  // namespace

void failure_tracker::note_error(worker& machine, job_store::job& job) {
  const job_store::failure_policy policy{.distinct_machines = failing_job_machines,
                                         .pause = shortest_backoff,
                                         .first_backoff = options_.failing_job_backoff,
                                         .backoff_limit = longest_backoff,
                                         .doubling_limit = max_backoff_doublings};
  const auto verdict = job.record_failure(machine.name, runtime_.now(), policy);
  if (verdict == job_store::failure_verdict::job_at_fault)
    spdlog::info("job_failing job={} round={}", job.spec().id, job.backoff_rounds());
  // Jobs that fail elsewhere too say nothing about a machine: two broken jobs that happened to meet
  // on one would have it returned.
  if (job.backoff_rounds() > 0) return;
  if (job.failures_by_machine().size() > 1) {
    for (const auto& [name, count] : job.failures_by_machine()) {
      if (worker* other = workers_.find(name); other != nullptr)
        clear_suspicion(*other, job.spec().id);
    }
    return;
  }
  machine.failed_jobs.insert(job.spec().id);
  if (!machine.quarantined_since &&
      machine.failed_jobs.size() >= options_.quarantine_after_failed_jobs)
    quarantine(machine);
}

void failure_tracker::note_unknown_exit(job_store::job& job) {
  job.back_off_until(runtime_.now() + unknown_exit_backoff);
}

void failure_tracker::forget_old_failures() {
  for (auto& [id, job] : jobs_.all()) {
    if (job.failures_by_machine().empty() ||
        runtime_.now() - job.last_failure_time() < error_memory)
      continue;
    job.clear_failures();
  }
}

/// The job fails elsewhere too. Two broken jobs that met on one machine first had it returned
/// before either had been tried on another.
void failure_tracker::clear_suspicion(worker& machine, const job_id& job) {
  machine.failed_jobs.erase(job);
  if (!machine.quarantined_since ||
      machine.failed_jobs.size() >= options_.quarantine_after_failed_jobs)
    return;
  spdlog::info("machine_quarantine_lifted machine={}", machine.name);
  machine.quarantined_since.reset();
  machine.view.reset();
  events_.changed();
}

void failure_tracker::quarantine(worker& machine) {
  machine.quarantined_since = runtime_.now();
  spdlog::info("machine_quarantined machine={} jobs={}", machine.name, machine.failed_jobs.size());
  const auto tasks = machine.attempts;
  for (const auto& [id, task] : tasks) {
    if (job_store::job* job = jobs_.find(id); job != nullptr)
      stopper_.stop_gracefully(*job, {task});
  }
}

}  // namespace gingerdrift::workers
