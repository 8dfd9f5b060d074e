#include "workers/failure_tracker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::workers {

namespace {
/// Number of machines on which a job has to fail before the job itself is considered faulty.
constexpr std::size_t failing_job_machine_count = 3;
/// A job that fails everywhere is still tried once a minute, because the machines may have caused
/// the failures.
constexpr duration max_backoff = seconds(60);
constexpr std::uint32_t max_backoff_doublings = 5;
/// Back-off after an error that the machine may have caused.
constexpr duration machine_error_backoff = milliseconds(500);
constexpr duration unknown_exit_backoff = seconds(2);
/// How long a job avoids the machines on which it failed, counted from its last failure.
constexpr duration error_retention = seconds(45);
}  // namespace

void failure_tracker::note_error(worker& machine, job_store::job& job) {
  const job_store::failure_policy policy{.distinct_machines = failing_job_machine_count,
                                         .pause = machine_error_backoff,
                                         .first_backoff = options_.failing_job_backoff,
                                         .backoff_limit = max_backoff,
                                         .doubling_limit = max_backoff_doublings};
  const auto verdict = job.record_failure(machine.name, runtime_.now(), policy);
  if (verdict == job_store::failure_verdict::job_at_fault)
    spdlog::info("job_failing job={} round={}", job.spec().id, job.backoff_rounds());
  // A job that also fails on other machines is no evidence against this one. Otherwise a healthy
  // machine would be returned to the cloud because two broken jobs happened to run on it.
  if (job.backoff_rounds() > 0) return;
  if (job.failures_by_machine().size() > 1) {
    for (const auto& [name, count] : job.failures_by_machine()) {
      if (worker* other = workers_.find(name); other != nullptr)
        clear_failed_job(*other, job.spec().id);
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
        runtime_.now() - job.last_failure_time() < error_retention)
      continue;
    job.clear_failures();
  }
}

/// Removes a job that also fails elsewhere from the failures of a machine, and lifts the quarantine
/// if too few failed jobs remain. Without this, a machine on which two broken jobs ran first was
/// returned to the cloud before either job had been tried on another machine.
void failure_tracker::clear_failed_job(worker& machine, const job_id& job) {
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
