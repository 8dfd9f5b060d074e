#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "dependencies/dependency_lists.hpp"
#include "dependencies/graph.hpp"
#include "dependencies/progress_lookup.hpp"
#include "store/job_book.hpp"

namespace gingerdrift::dependencies {

/// What the tracker asks of the term it serves.
class tracker_owner {
 public:
  virtual ~tracker_owner() = default;
  /// Takes the head record of a job into the book, if it is not there yet and was asked for late
  /// enough.
  virtual void take_job(const store::entry& head, time_point asked) = 0;
  /// A final state that this process has seen in the store.
  virtual std::optional<store::stored_end> remembered_end(const std::string& job) = 0;
  /// Jobs became ready, or their priorities changed.
  virtual void dependencies_changed() = 0;
};

/// Keeps the dependency graph of a leader's jobs up to date with what is stored.
///
/// A job becomes ready only once the store has `done` of all its dependencies, and a cancellation
/// reaches its dependents only once it is stored itself: whatever a leader derives here, every
/// successor derives again from the same records.
class tracker {
 public:
  tracker(net::runtime& runtime, store::client& store, store::job_book& book, tracker_owner& owner);
  tracker(const tracker&) = delete;
  tracker& operator=(const tracker&) = delete;

  /// A job that has just come into the book.
  void job_added(store::job& one);
  /// All records are read: what is not in the book is over, and is read from the final records.
  void start();
  /// Some of a job's changes are stored.
  void job_stored(const std::string& job);
  void job_gone(const std::string& job, const store::stored_end& end);
  /// A user called a job off that still waits.
  void job_cancelled(const std::string& job);

  /// Whether all that the job needs is known not to be cancelled. Until then nobody may be told
  /// that it waits: its user may have to hear that it is cancelled.
  bool certain(const store::job& one) const;
  admission::priority effective_priority(const store::job& one) const;
  std::size_t waiting_jobs() const { return graph_.waiting_jobs(); }

 private:
  bool cancellation_under_way(const std::string& id) const;
  void add_to_graph(store::job& one);
  void list_read(const std::string& job);
  void apply(const graph::changes& changes);
  void make_ready(const std::string& job);
  void cancel(const std::string& job);
  bool settle(const std::string& job);
  bool settle_in_memory(const std::string& job);
  bool take_head(const store::entry& head, time_point asked);

  net::runtime& runtime_;
  store::job_book& book_;
  tracker_owner& owner_;
  graph graph_;
  dependency_lists lists_;
  progress_lookup lookup_;
  bool started_ = false;
  /// Jobs in the book whose cancellation isn't known to be stored.
  std::set<std::string> cancelling_;
};

}  // namespace gingerdrift::dependencies
