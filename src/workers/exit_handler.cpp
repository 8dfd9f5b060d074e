#include "workers/exit_handler.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::workers {

namespace {
/// Limit for the waits of a gang's members that end because the gang is incomplete, as an average
/// per member. Beyond it the whole gang is stopped and placed again.
constexpr std::uint32_t max_gang_waits_per_member = 4;

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
  // Other members may still be fetching the image, and stopping them would lose that progress. A
  // gang whose image took longer to fetch than a member may wait was once stopped as a whole each
  // time, and never started.
  const bool replaceable =
      cause == exit_cause::gang_incomplete &&
      job.count_gang_wait_timeout() < max_gang_waits_per_member * job.spec().tasks;
  outcomes_.update_job_after_attempt_end(job, replaceable);
}

bool exit_handler::may_acknowledge(const worker& sender, const job_store::job* job,
                                   const task_status& status) {
  // The job's end is stored and the job has left the table, or there is no such job or task.
  if (job == nullptr || status.task >= job->spec().tasks) return true;
  const auto& unit = job->units()[job->unit_of(status.task)];
  const auto exit = sender.handled_exits.find({{status.job, status.task}, status.number});
  if (exit != sender.handled_exits.end() && unit.stored_change >= exit->second) return true;
  // The exit was handled by an earlier leader. It may be acknowledged if no change of the record
  // unit remains to be stored, or if another attempt has replaced the one that exited.
  const auto attempt = job->attempts().find(status.task);
  if (attempt == job->attempts().end()) return !unit.dirty();
  return attempt->second.number != status.number;
}

void exit_handler::await_storage(worker& sender, const job_store::job& job,
                                 const attempt_id& attempt) {
  sender.handled_exits[attempt] = job.units()[job.unit_of(attempt.task.index)].latest_change;
}

}  // namespace gingerdrift::workers
