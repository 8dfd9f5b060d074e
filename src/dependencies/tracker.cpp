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
      lists_(runtime, store, jobs, [this](const job_id& id) { list_complete(id); }),
      lookup_(runtime, store,
              {.resolve = [this](const job_id& id) { return resolve(id); },
               .ended = [this](const job_id& id,
                               const job_store::terminal_state& end) { job_finalized(id, end); },
               .head_read = [this](const kvstore::entry& head,
                                   time_point read_at) { return take_head(head, read_at); }}) {}

void tracker::job_added(job& job) {
  const job_id id = job.spec().id;
  if (job.status() == job_status::cancelled) cancelling_.insert(id);
  if (job.waiting() && job.more_dependencies().count != 0) return lists_.read(job);
  if (job.waiting()) add_to_graph(job);
  if (started_) resolve_in_memory(id);
}

void tracker::add_to_graph(job& job) {
  apply(graph_.add(job.spec().id, job.spec().level, job.dependencies()));
}

void tracker::list_complete(const job_id& id) {
  job* job = jobs_.find(id);
  if (job == nullptr || !job->waiting()) return;
  add_to_graph(*job);
  if (started_) resolve_in_memory(id);
}

void tracker::start() {
  started_ = true;
  for (const auto& name : graph_.unknown()) lookup_.add(name);
  lookup_.start();
}

/// Whether nothing has to be read of a job: it is held here, or nobody waits for it any more.
bool tracker::resolve(const job_id& id) {
  return !graph_.has_dependents(id) || resolve_in_memory(id);
}

/// What the job table says of a job that others wait for; only what is stored counts.
bool tracker::resolve_in_memory(const job_id& id) {
  if (const job* job = jobs_.find(id); job != nullptr) {
    job_progress progress = job_progress::unfinished;
    if (job->stored_terminal_state()) progress = progress_of(*job->stored_terminal_state());
    apply(graph_.set_progress(id, progress));
    return true;
  }
  const auto end = owner_.cached_terminal_state(id);
  if (!end) return false;
  job_finalized(id, *end);
  return true;
}

bool tracker::take_head(const kvstore::entry& head, time_point read_at) {
  owner_.take_job(head, read_at);
  const auto id = job_store::job_of_head_key(head.key);
  return id && jobs_.find(*id) != nullptr;
}

void tracker::job_stored(const job_id& id) {
  lists_.job_stored(id);
  const job* job = jobs_.find(id);
  if (job != nullptr && job->stored_terminal_state()) resolve_in_memory(id);
}

void tracker::job_finalized(const job_id& id, const job_store::terminal_state& end) {
  cancelling_.erase(id);
  lists_.job_finalized(id);
  apply(graph_.set_progress(id, progress_of(end)));
}

void tracker::job_cancelled(const job_id& id) {
  cancelling_.insert(id);
  if (job* job = jobs_.find(id); job != nullptr && job->waiting()) {
    job->stop_waiting();
    lists_.release(*job);
  }
  apply(graph_.remove(id));
}

void tracker::apply(const graph::event_effects& effects) {
  for (const auto& id : effects.priority_changed) {
    if (job* job = jobs_.find(id); job != nullptr) job->invalidate_view();
  }
  for (const auto& id : effects.ready) make_ready(id);
  for (const auto& id : effects.cancelled) cancel(id);
  if (started_ && !effects.newly_unknown.empty()) {
    for (const auto& id : effects.newly_unknown) lookup_.add(id);
    lookup_.start();
  }
  if (!effects.ready.empty() || !effects.priority_changed.empty()) owner_.dependencies_changed();
}

/// All of its dependencies are stored as done, which never changes. Its record says so the next
/// time that it is written; a successor that reads an older one derives it again.
void tracker::make_ready(const job_id& id) {
  job* job = jobs_.find(id);
  if (job == nullptr || !job->waiting() || !job->active()) return;
  const auto since_epoch = runtime_.wall_now().time_since_epoch();
  job->become_ready(std::chrono::duration_cast<milliseconds>(since_epoch).count());
  lists_.release(*job);
  jobs_.mark_head_deferrable(*job);
  spdlog::info("job_ready job={}", id);
}

/// Something that it needs is stored as cancelled. None of its tasks has ever started.
void tracker::cancel(const job_id& id) {
  job* job = jobs_.find(id);
  if (job == nullptr || !job->active()) return;
  spdlog::info("job_cancelled_with_dependency job={}", id);
  job->stop_waiting();
  job->cancel();
  cancelling_.insert(id);
  lists_.release(*job);
  jobs_.finalize(*job);
}

bool tracker::is_state_certain(const job& job) const {
  if (!job.waiting()) return true;
  if (!started_ || lists_.reading(job.spec().id)) return false;
  // Nearly always; users ask for thousands of jobs that wait.
  if (graph_.all_known() && cancelling_.empty()) return true;
  return graph_.ancestors_known(
      job.spec().id, [this](const job_id& name) { return cancellation_under_way(name); });
}

/// A cancellation may be stored, and told by whoever read it, long before that is acknowledged
/// here.
bool tracker::cancellation_under_way(const job_id& id) const {
  if (cancelling_.count(id) == 0) return false;
  const job* job = jobs_.find(id);
  return job != nullptr && job->status() == job_status::cancelled;
}

admission::priority tracker::effective_priority(const job& job) const {
  return std::max(job.spec().level, graph_.inherited_priority(job.spec().id));
}

}  // namespace gingerdrift::dependencies
