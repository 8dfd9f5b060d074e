#include "job_store/job_state.hpp"

#include <algorithm>

namespace gingerdrift::job_store {

namespace {

/// Its users hear of the cancellation by its final record alone.
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
  // Something that it needs may be cancelled, and it with that, though its own record doesn't say
  // so yet: only the leader knows all that it depends on.
  if (record.waiting() && record.active()) return indeterminate{};
  if (record.stored_terminal_state() && !hides_cancellation(record, acknowledgement))
    return *record.stored_terminal_state();
  return in_progress{record.done().count(), static_cast<std::uint32_t>(record.attempts().size())};
}

/// Only the leader writes a job's records, so its memory is as new as the state service, but for
/// writes whose outcome it doesn't know. Once a write that ends the job was sent, other controllers
/// may have read the end, and told it, before the acknowledgement arrives here or is given up on:
/// to say that the job goes on could then be an older answer than theirs.
job_state state_in_memory(const job& job, cancellation_acknowledgement acknowledgement) {
  const bool hidden = hides_cancellation(job, acknowledgement);
  if (job.stored_terminal_state() && !hidden) return *job.stored_terminal_state();
  const auto indeterminate_from = hidden ? end_write::final_record_sent : end_write::status_sent;
  if (job.end_write_sent() >= indeterminate_from) return indeterminate{};
  // A cancellation on its way to the store is neither told nor denied.
  if (job.status() == job_status::cancelled && !hidden) return indeterminate{};
  return in_progress{job.done().count(), running_tasks(job)};
}

}  // namespace gingerdrift::job_store
