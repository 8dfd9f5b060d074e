#pragma once

#include <cstddef>
#include <optional>
#include <set>

#include "dependencies/dependency_lists.hpp"
#include "dependencies/graph.hpp"
#include "dependencies/progress_lookup.hpp"
#include "job_store/job_table.hpp"

namespace gingerdrift::dependencies {

/// The interface of the leader's term to its dependency tracker.
class tracker_owner {
 public:
  virtual ~tracker_owner() = default;
  /// Loads a job from its head record into the job table, unless the job is there already or the
  /// record was requested (`read_at`) so early that the job may have ended since.
  virtual void load_job(const kvstore::entry& head, time_point read_at) = 0;
  /// Returns the job's final state if this process has observed it in the store.
  virtual std::optional<job_store::terminal_state> cached_terminal_state(const job_id& job) = 0;
  /// Called when jobs became ready or their effective priorities changed.
  virtual void dependencies_changed() = 0;
};

/// Keeps the dependency graph of a leader's jobs consistent with the stored records.
///
/// A job becomes ready only once all its dependencies are stored as `done`, and a cancellation is
/// passed on to the dependents only once it is stored itself. Every later leader therefore derives
/// the same results from the same records.
class tracker {
 public:
  tracker(net::runtime& runtime, kvstore::client& store, job_store::job_table& jobs,
          tracker_owner& owner);
  tracker(const tracker&) = delete;
  tracker& operator=(const tracker&) = delete;

  /// Adds a job that was just inserted into the job table.
  void job_added(job_store::job& job);
  /// Starts reading from the store the state of dependencies that are not in the job table. To be
  /// called once all records are loaded: a job that is not in the table then has ended, and its
  /// final record is read.
  void start();
  /// To be called when some of a job's changes have been stored.
  void job_stored(const job_id& job);
  /// To be called when a job's final record has been stored.
  void job_finalized(const job_id& job, const job_store::terminal_state& end);
  /// To be called when a user cancels a job, which may still be waiting.
  void job_cancelled(const job_id& job);

  /// Reports whether the job's state in memory can't be contradicted by other stored records:
  /// either the job doesn't wait, or all its direct and indirect dependencies are known not to be
  /// cancelled. Until then users must not be told that the job is waiting, since it may have to be
  /// reported as cancelled.
  bool is_state_certain(const job_store::job& job) const;
  /// Returns the higher of the job's own priority and the priorities of all jobs that depend on it.
  admission::priority effective_priority(const job_store::job& job) const;
  /// Returns the number of jobs that wait for others, for the status report.
  std::size_t waiting_job_count() const { return graph_.waiting_job_count(); }

 private:
  bool is_cancellation_pending(const job_id& id) const;
  void add_to_graph(job_store::job& job);
  void handle_list_read(const job_id& job);
  void apply_effects(const graph::event_effects& effects);
  void mark_ready(const job_id& job);
  void cancel_dependent(const job_id& job);
  bool resolve(const job_id& job);
  bool resolve_from_memory(const job_id& job);
  bool load_head(const kvstore::entry& head, time_point read_at);

  net::runtime& runtime_;
  job_store::job_table& jobs_;
  tracker_owner& owner_;
  graph graph_;
  dependency_lists lists_;
  progress_lookup lookup_;
  bool started_ = false;
  /// Jobs in the table that are cancelled, but whose cancellation is not yet known to be stored.
  std::set<job_id> pending_cancellations_;
};

}  // namespace gingerdrift::dependencies
