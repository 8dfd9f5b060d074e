#include "dependencies/tracker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::dependencies {

using job_store::job;
using job_store::job_status;

namespace {
job_progress progress_of(const job_store::terminal_state& end) {
  return end.status() == job_status::done ? job_progress::done : job_progress::cancelled;
}
}  // namespace

tracker::tracker(net::runtime& runtime, kvstore::client& store, job_store::job_table& jobs,
                 tracker_owner& owner)
    : runtime_(runtime),
      jobs_(jobs),
      owner_(owner),
      lists_(runtime, store, jobs, [this](const job_id& id) { handle_list_read(id); }),
      lookup_(
          runtime, store,
          {.resolve = [this](const job_id& id) { return resolve(id); },
           .job_ended = [this](const job_id& id,
                               const job_store::terminal_state& end) { job_finalized(id, end); },
           .load_head = [this](const kvstore::entry& head,
                               time_point read_at) { return load_head(head, read_at); }}) {}

void tracker::job_added(job& job) {
  const job_id id = job.spec().id;
  if (job.status() == job_status::cancelled) pending_cancellations_.insert(id);
  if (job.waiting() && job.more_dependencies().count != 0) return lists_.read(job);
  if (job.waiting()) add_to_graph(job);
  if (started_) resolve_from_memory(id);
}

void tracker::add_to_graph(job& job) {
  apply_effects(graph_.add(job.spec().id, job.spec().level, job.dependencies()));
}

void tracker::handle_list_read(const job_id& id) {
  job* job = jobs_.find(id);
  if (job == nullptr || !job->waiting()) return;
  add_to_graph(*job);
  if (started_) resolve_from_memory(id);
}

void tracker::start() {
  started_ = true;
  for (const auto& id : graph_.unknown_jobs()) lookup_.add(id);
  lookup_.start();
}

/// Returns true if nothing has to be read from the store about the job: its state is known in
/// memory, or no job waits for it any more.
bool tracker::resolve(const job_id& id) {
  return !graph_.has_dependents(id) || resolve_from_memory(id);
}

/// Sets the job's progress in the graph from the job table or the cache of final states; returns
/// false if neither contains the job. Only stored states count: an end that is not stored yet
/// leaves the job unfinished.
bool tracker::resolve_from_memory(const job_id& id) {
  if (const job* job = jobs_.find(id); job != nullptr) {
    job_progress progress = job_progress::unfinished;
    if (job->stored_terminal_state()) progress = progress_of(*job->stored_terminal_state());
    apply_effects(graph_.set_progress(id, progress));
    return true;
  }
  const auto end = owner_.cached_terminal_state(id);
  if (!end) return false;
  job_finalized(id, *end);
  return true;
}

bool tracker::load_head(const kvstore::entry& head, time_point read_at) {
  owner_.load_job(head, read_at);
  const auto id = job_store::job_of_head_key(head.key);
  return id && jobs_.find(*id) != nullptr;
}

void tracker::job_stored(const job_id& id) {
  lists_.job_stored(id);
  const job* job = jobs_.find(id);
  if (job != nullptr && job->stored_terminal_state()) resolve_from_memory(id);
}

void tracker::job_finalized(const job_id& id, const job_store::terminal_state& end) {
  pending_cancellations_.erase(id);
  lists_.job_finalized(id);
  apply_effects(graph_.set_progress(id, progress_of(end)));
}

void tracker::job_cancelled(const job_id& id) {
  pending_cancellations_.insert(id);
  if (job* job = jobs_.find(id); job != nullptr && job->waiting()) {
    job->stop_waiting();
    lists_.release(*job);
  }
  apply_effects(graph_.remove(id));
}

void tracker::apply_effects(const graph::event_effects& effects) {
  for (const auto& id : effects.priority_changed) {
    if (job* job = jobs_.find(id); job != nullptr) job->invalidate_view();
  }
  for (const auto& id : effects.ready) mark_ready(id);
  for (const auto& id : effects.cancelled) cancel_dependent(id);
  if (started_ && !effects.newly_unknown.empty()) {
    for (const auto& id : effects.newly_unknown) lookup_.add(id);
    lookup_.start();
  }
  if (!effects.ready.empty() || !effects.priority_changed.empty()) owner_.dependencies_changed();
}

/// Makes a job ready. All its dependencies are stored as done, which is final. The job's record
/// contains the ready time from its next write on; a later leader that reads an older record
/// derives the readiness again.
void tracker::mark_ready(const job_id& id) {
  job* job = jobs_.find(id);
  if (job == nullptr || !job->waiting() || !job->active()) return;
  const auto since_epoch = runtime_.wall_now().time_since_epoch();
  job->become_ready(std::chrono::duration_cast<milliseconds>(since_epoch).count());
  lists_.release(*job);
  jobs_.mark_head_deferrable(*job);
  spdlog::info("job_ready job={}", id);
}

/// Cancels a job with a dependency, direct or indirect, that is stored as cancelled. None of the
/// job's tasks has ever started, so it can be finalized at once.
void tracker::cancel_dependent(const job_id& id) {
  job* job = jobs_.find(id);
  if (job == nullptr || !job->active()) return;
  spdlog::info("job_cancelled_with_dependency job={}", id);
  job->stop_waiting();
  job->cancel();
  pending_cancellations_.insert(id);
  lists_.release(*job);
  jobs_.finalize(*job);
}

bool tracker::is_state_certain(const job& job) const {
  if (!job.waiting()) return true;
  if (!started_ || lists_.is_reading(job.spec().id)) return false;
  // The usual case. Without this shortcut the graph would be traversed for each of the thousands of
  // waiting jobs that users query.
  if (graph_.all_jobs_known() && pending_cancellations_.empty()) return true;
  return graph_.all_ancestors_known(
      job.spec().id, [this](const job_id& id) { return is_cancellation_pending(id); });
}

/// Reports whether the job is cancelled in memory while this leader doesn't know yet whether that
/// is stored. It may be stored, and other controllers may have reported it to users, long before
/// this leader receives the acknowledgement.
bool tracker::is_cancellation_pending(const job_id& id) const {
  if (pending_cancellations_.count(id) == 0) return false;
  const job* job = jobs_.find(id);
  return job != nullptr && job->status() == job_status::cancelled;
}

admission::priority tracker::effective_priority(const job& job) const {
  return std::max(job.spec().level, graph_.inherited_priority(job.spec().id));
}

}  // namespace gingerdrift::dependencies
