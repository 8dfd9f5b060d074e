#include "job_store/job_state.hpp"

#include <algorithm>

namespace gingerdrift::job_store {

namespace {

/// Reports whether the job is cancelled, but the cancellation may be reported to users only after
/// the final record is stored.
bool hides_cancellation(const job& job, cancellation_acknowledgement acknowledgement) {
  return acknowledgement == cancellation_acknowledgement::when_tasks_are_gone &&
         job.status() == job_status::cancelled;
}

std::uint32_t running_tasks(const job& job) {
  const auto is_running = [](const auto& item) {
    return item.second.phase == attempt_phase::running;
  };
  return static_cast<std::uint32_t>(
      std::count_if(job.attempts().begin(), job.attempts().end(), is_running));
}

}  // namespace

job_state state_in_record(const job& record, cancellation_acknowledgement acknowledgement) {
  // A dependency may have been cancelled, which cancels this job too, although its own record does
  // not show that yet. Only the leader has all direct and indirect dependencies of the job.
  if (record.waiting() && record.active()) return indeterminate{};
  if (record.stored_terminal_state() && !hides_cancellation(record, acknowledgement))
    return *record.stored_terminal_state();
  return in_progress{record.done().count(), static_cast<std::uint32_t>(record.attempts().size())};
}

/// Only the leader writes a job's records, so its memory is as recent as the state service, except
/// for writes whose outcome is unknown. Once a write that ends the job was sent, other controllers
/// may have read and reported the terminal state before the acknowledgement arrives here or the
/// leader gives up waiting for it. Reporting the job as in progress could then be an older state
/// than the one that those controllers have already reported.
job_state state_in_memory(const job& job, cancellation_acknowledgement acknowledgement) {
  const bool hidden = hides_cancellation(job, acknowledgement);
  if (job.stored_terminal_state() && !hidden) return *job.stored_terminal_state();
  const auto indeterminate_from = hidden ? end_write::final_record_sent : end_write::status_sent;
  if (job.end_write_sent() >= indeterminate_from) return indeterminate{};
  // A cancellation that is not stored yet is neither confirmed nor denied.
  if (job.status() == job_status::cancelled && !hidden) return indeterminate{};
  return in_progress{job.done().count(), running_tasks(job)};
}

}  // namespace gingerdrift::job_store
