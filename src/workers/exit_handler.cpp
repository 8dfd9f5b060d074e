#include "workers/exit_handler.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::workers {

namespace {
/// How often each member of a gang, on average, may wait in vain before the gang is placed anew.
constexpr std::uint32_t most_waits = 4;

spdlog::level::level_enum log_level_of(exit_cause cause) {
  const bool expected = cause == exit_cause::done || cause == exit_cause::stopped;
  return expected ? spdlog::level::debug : spdlog::level::info;
}
}  // namespace

void exit_handler::handle(worker& sender, job_store::job& job, std::uint32_t task,
                          exit_cause cause) {
  const attempt_id ended{{job.spec().id, task}, job.attempts().at(task).number};
  spdlog::log(log_level_of(cause),
              "task_exited job={} task={} attempt={} machine={} cause={} term={}", job.spec().id,
              task, ended.number, sender.name, cause_name(cause), token_);
  if (cause == exit_cause::done) {
    failure_tracker::note_success(sender);
    outcomes_.complete_task(job, task);
    await_storage(sender, job, ended);
    return;
  }
  if (cause == exit_cause::error) failures_.note_error(sender, job);
  if (cause == exit_cause::unknown) failures_.note_unknown_exit(job);
  outcomes_.end_attempt(job, task);
  await_storage(sender, job, ended);
  // The others may be fetching still: to stop them would lose their fetches, and where an image
  // takes longer than a member may wait, a gang that began anew each time once never began at all.
  const bool replaceable =
      cause == exit_cause::alone && job.count_gang_wait_timeout() < most_waits * job.spec().tasks;
  outcomes_.after_loss(job, replaceable);
}

bool exit_handler::may_acknowledge(const worker& sender, const job_store::job* job,
                                   const task_status& status) {
  // The job is over and stored, or never was.
  if (job == nullptr || status.task >= job->spec().tasks) return true;
  const auto& unit = job->units()[job->unit_of(status.task)];
  const auto exit = sender.exits.find({{status.job, status.task}, status.number});
  if (exit != sender.exits.end() && unit.stored_change >= exit->second) return true;
  // An exit that an earlier leader dealt with: the record has nothing left to store of it.
  const auto attempt = job->attempts().find(status.task);
  if (attempt == job->attempts().end()) return !unit.dirty();
  return attempt->second.number != status.number;
}

void exit_handler::await_storage(worker& sender, const job_store::job& job,
                                 const attempt_id& attempt) {
  sender.exits[attempt] = job.units()[job.unit_of(attempt.task.index)].latest_change;
}

}  // namespace gingerdrift::workers
