#include "leader/machine_drain.hpp"

namespace gingerdrift::leader {

namespace {
/// Added to the time that a job needs to save its work, for message delays in both directions.
constexpr auto save_margin = seconds(2);
/// A task that is left running must have this much time in addition to the time for saving its
/// work, in case its estimated run time is wrong.
constexpr auto completion_margin = seconds(4);
}  // namespace

void stop_with_time_to_save(workers::reconciler& workers, job_store::job& job,
                            const std::vector<std::uint32_t>& tasks) {
  const duration grace = job.spec().save + save_margin;
  if (job.spec().gang) {
    workers.stop_all(job, grace);
  } else {
    workers.stop(job, tasks, grace);
  }
}

machine_drain::machine_drain(net::runtime& runtime, job_store::job_table& jobs,
                             workers::reconciler& workers)
    : runtime_(runtime), jobs_(jobs), workers_(workers) {}

void machine_drain::drain_machines_with_notice() {
  for (auto& [name, worker] : workers_.all()) {
    if (worker.termination_notice) drain(worker);
  }
}

void machine_drain::drain(workers::worker& worker) {
  const duration time_left = *worker.termination_notice - (runtime_.now() - worker.last_heartbeat);
  const auto tasks = worker.attempts;  // a copy, because stopping tasks modifies worker.attempts
  for (const auto& [id, task] : tasks) {
    job_store::job* job = jobs_.find(id);
    if (job == nullptr) continue;
    const auto attempt = job->attempts().find(task);
    if (attempt == job->attempts().end() || attempt->second.stopping) continue;
    if (will_finish_in_time(*job, attempt->second, time_left)) continue;
    stop_with_time_to_save(workers_, *job, {task});
  }
}

/// Reports whether the task is expected to finish before the machine is terminated. The machine may
/// be terminated after half of the announced time, so only this half is counted on.
bool machine_drain::will_finish_in_time(const job_store::job& job,
                                        const job_store::attempt& attempt,
                                        duration time_left) const {
  if (attempt.phase != job_store::attempt_phase::running) return false;
  const duration run_time = runtime_.now() - attempt.running_since;
  return job.spec().estimate - run_time < time_left / 2 &&
         time_left > job.spec().save + completion_margin;
}

}  // namespace gingerdrift::leader
