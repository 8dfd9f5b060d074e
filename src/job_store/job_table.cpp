#include "job_store/job_table.hpp"

#include <utility>

namespace gingerdrift::job_store {

namespace {
/// More jobs than can end while a read of the store is in flight.
constexpr std::size_t max_remembered_completions = 8192;
}  // namespace

job_table::job_table(net::runtime& runtime, kvstore::client& store, kvstore::condition leader,
                     const kvstore::service_limits& sizes, hooks owner)
    : runtime_(runtime),
      owner_(std::move(owner)),
      completions_(max_remembered_completions),
      commits_(runtime, store, std::move(leader), sizes, jobs_, *this) {}

job& job_table::insert(job job) {
  const job_id id = job.spec().id;
  return jobs_.insert_or_assign(id, std::move(job)).first->second;
}

void job_table::mark_unit(job& job, std::size_t unit, write_urgency urgency) {
  job.mark_changed(unit);
  commits_.queue({job.spec().id, unit}, urgency);
}

void job_table::mark_task(job& job, std::uint32_t task, write_urgency urgency) {
  mark_unit(job, job.unit_of(task), urgency);
}

void job_table::mark_placed(job& job, std::uint32_t task) {
  mark_task(job, task, write_urgency::deferrable);
  const std::size_t unit = job.unit_of(task);
  job.link_attempt_to_latest_change(task);
  const attempt& attempt = job.attempts().at(task);
  commits_.add_placement({.job = job.spec().id,
                          .task = task,
                          .number = attempt.number,
                          .machine = attempt.machine,
                          .incarnation = attempt.incarnation,
                          .unit = unit,
                          .change = attempt.change});
}

void job_table::finalize(job& job) {
  if (job.is_finalizing()) return;
  job.start_finalizing();
  for (std::size_t unit = 1; unit < job.units().size(); ++unit) {
    if (job.units()[unit].version.exists()) mark_unit(job, unit, write_urgency::urgent);
  }
  mark_head(job);
}

void job_table::when_terminal(const job& job, terminal_fn done) {
  if (job.stored_terminal_state()) return done(job.stored_terminal_state());
  waiters_.add(job.spec().id, std::move(done));
}

void job_table::committed(const commit_outcome& outcome) {
  const auto self = guard_.observe();
  for (const auto& id : outcome.changed) notify_waiters(id);
  for (const auto& id : outcome.changed) {
    if (!self.alive()) return;
    owner_.stored(id);
  }
  for (const auto& finished : outcome.finished) {
    if (!self.alive()) return;
    remove(finished.id, finished.state);
  }
  if (self.alive()) owner_.committed();
}

void job_table::notify_waiters(const job_id& id) {
  const job* job = find(id);
  if (job != nullptr && job->stored_terminal_state())
    waiters_.notify(id, job->stored_terminal_state());
}

/// Users who wait for the job's end are answered at once without a state, and ask again.
void job_table::head_too_large(const job_id& id) { waiters_.notify(id, std::nullopt); }

/// A final record proves that the job has ended, regardless of which leader wrote it and of the
/// job's state in this leader's memory.
void job_table::final_state_found(const job_id& id, const terminal_state& end) {
  if (find(id) == nullptr) return;
  waiters_.notify(id, end);
  remove(id, end);
}

void job_table::final_record_malformed(const job_id& id) {
  waiters_.notify(id, std::nullopt);
  jobs_.erase(id);
}

void job_table::remove(const job_id& id, const terminal_state& end) {
  jobs_.erase(id);
  completions_.add(id, runtime_.now());
  owner_.finalized(id, end);
}

}  // namespace gingerdrift::job_store
