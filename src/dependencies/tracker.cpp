#include "dependencies/tracker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::dependencies {

using store::job;
using store::job_status;

namespace {
/// Elections, renewals and users' reads go first: no more reads than this at a time.
constexpr std::size_t most_reads = 8;
constexpr auto retry_delay = milliseconds(300);

job_progress progress_of(const store::stored_end& end) {
  return end.status() == job_status::done ? job_progress::done : job_progress::cancelled;
}
}  // namespace

tracker::tracker(net::runtime& runtime, store::client& store, store::job_book& book,
                 tracker_owner& owner)
    : runtime_(runtime), store_(store), book_(book), owner_(owner) {}

tracker::~tracker() { *alive_ = false; }

void tracker::job_added(job& one) {
  const std::string id = one.spec.id;
  if (one.waiting && one.more_dependencies.count != 0) {
    if (lists_.insert(id).second) read_list(id, one.more_dependencies, 0);
    return;
  }
  if (one.waiting) add_to_graph(one);
  if (started_) {
    known_here(id);
    look_for_unknown();
  }
}

void tracker::add_to_graph(job& one) {
  apply(graph_.add(one.spec.id, one.spec.level, one.dependencies));
}

/// The rest of a list that the head record has no room for.
void tracker::read_list(const std::string& id, const store::dependency_parts& parts,
                        std::size_t index) {
  if (index == parts.count) return list_read(id);
  store_.get_in_background(
      store::dependency_part_key(parts, index),
      [this, id, parts, index, alive = alive_](const store::result& found) {
        if (!*alive) return;
        job* one = book_.find(id);
        if (one == nullptr || !one->waiting) {
          lists_.erase(id);
          return;
        }
        if (!found.ok() || found.entries.empty()) {
          runtime_.after(retry_delay, [this, id, parts, index, alive] {
            if (*alive) read_list(id, parts, index);
          });
          return;
        }
        const auto names = store::read_dependency_part(found.entries.front().value);
        one->dependencies.insert(one->dependencies.end(), names.begin(), names.end());
        read_list(id, parts, index + 1);
      });
}

void tracker::list_read(const std::string& id) {
  lists_.erase(id);
  job* one = book_.find(id);
  if (one == nullptr || !one->waiting) return;
  add_to_graph(*one);
  if (!started_) return;
  known_here(id);
  look_for_unknown();
}

/// The keys of a list that is needed no more. What is left of it does no harm.
void tracker::forget_list(const store::dependency_parts& parts) {
  for (std::size_t i = 0; i < parts.count; ++i)
    store_.txn({}, {{store::dependency_part_key(parts, i), {}, 0, true}},
               [](const store::result&) {});
}

void tracker::start() {
  started_ = true;
  look_for_unknown();
}

/// What the book says of a job that others wait for; only what is stored counts.
bool tracker::known_here(const std::string& id) {
  if (const job* one = book_.find(id); one != nullptr) {
    job_progress progress = job_progress::unfinished;
    if (one->end) progress = progress_of(*one->end);
    apply(graph_.set_progress(id, progress));
    return true;
  }
  const auto end = owner_.remembered_end(id);
  if (!end) return false;
  job_gone(id, *end);
  return true;
}

void tracker::look_for_unknown() {
  for (const auto& name : graph_.unknown()) {
    if (reading_.count(name) != 0 || known_here(name)) continue;
    if (reads_under_way_ >= most_reads) return;
    reading_.insert(name);
    ++reads_under_way_;
    read_final(name);
  }
}

/// Not in the book: mostly it is over. Records move from head to final, so a job without either has
/// moved between the two readings.
void tracker::read_final(const std::string& id) {
  store_.get_in_background(store::final_key(id),
                           [this, id, alive = alive_](const store::result& found) {
                             if (!*alive) return;
                             if (found.status == 404) return read_head(id);
                             if (!found.ok() || found.entries.empty()) return read_again(id);
                             const auto end = store::read_final(found.entries.front().value);
                             if (!end) {
                               spdlog::error("final record is malformed job={}", id);
                               return read_again(id);
                             }
                             job_gone(id, *end);
                             read_done(id);
                           });
}

/// Accepted elsewhere a moment ago.
void tracker::read_head(const std::string& id) {
  store_.get_in_background(store::head_key(id),
                           [this, id, alive = alive_](const store::result& found) {
                             if (!*alive) return;
                             if (!found.ok() || found.entries.empty()) return read_again(id);
                             owner_.take_job(found.entries.front(), found.sent);
                             if (book_.find(id) == nullptr) return read_again(id);
                             read_done(id);
                           });
}

/// Later; meanwhile others have their turn.
void tracker::read_again(const std::string& id) {
  --reads_under_way_;
  runtime_.after(retry_delay, [this, id, alive = alive_] {
    if (!*alive) return;
    reading_.erase(id);
    look_for_unknown();
  });
}

void tracker::read_done(const std::string& id) {
  --reads_under_way_;
  reading_.erase(id);
  look_for_unknown();
}

void tracker::job_stored(const std::string& id) {
  const job* one = book_.find(id);
  if (one != nullptr && one->end) known_here(id);
}

void tracker::job_gone(const std::string& id, const store::stored_end& end) {
  apply(graph_.set_progress(id, progress_of(end)));
}

void tracker::job_cancelled(const std::string& id) {
  if (job* one = book_.find(id); one != nullptr && one->waiting) {
    one->waiting = false;
    forget_list(one->more_dependencies);
  }
  apply(graph_.remove(id));
}

void tracker::apply(const graph::changes& changes) {
  for (const auto& id : changes.priority) {
    if (job* one = book_.find(id); one != nullptr) one->view.reset();
  }
  for (const auto& id : changes.ready) make_ready(id);
  for (const auto& id : changes.cancelled) cancel(id);
  if (!changes.ready.empty() || !changes.priority.empty()) owner_.dependencies_changed();
}

/// All of its dependencies are stored as done, which never changes. Its record says so the next
/// time that it is written; a successor that reads an older one derives it again.
void tracker::make_ready(const std::string& id) {
  job* one = book_.find(id);
  if (one == nullptr || !one->waiting || one->status != job_status::active) return;
  one->waiting = false;
  one->ready_ms =
      std::chrono::duration_cast<milliseconds>(runtime_.wall_now().time_since_epoch()).count();
  one->dependencies.clear();
  forget_list(one->more_dependencies);
  one->more_dependencies = {};
  book_.mark_head_progress(*one);
  spdlog::info("ready job={}", id);
}

/// Something that it needs is stored as cancelled. None of its tasks has ever started.
void tracker::cancel(const std::string& id) {
  job* one = book_.find(id);
  if (one == nullptr || one->status != job_status::active) return;
  spdlog::info("cancelled with what it needs job={}", id);
  one->waiting = false;
  one->status = job_status::cancelled;
  forget_list(one->more_dependencies);
  book_.retire(*one);
}

bool tracker::certain(const job& one) const {
  if (!one.waiting) return true;
  if (!started_ || lists_.count(one.spec.id) != 0) return false;
  if (!graph_.ancestors_known(one.spec.id)) return false;
  const auto ancestors = graph_.ancestors(one.spec.id);
  return std::none_of(ancestors.begin(), ancestors.end(),
                      [this](const std::string& name) { return cancellation_under_way(name); });
}

/// A cancellation may be stored, and told by whoever read it, long before that is acknowledged
/// here.
bool tracker::cancellation_under_way(const std::string& id) const {
  const job* one = book_.find(id);
  return one != nullptr && one->status == job_status::cancelled;
}

admission::priority tracker::effective_priority(const job& one) const {
  return std::max(one.spec.level, graph_.inherited_priority(one.spec.id));
}

}  // namespace gingerdrift::dependencies
