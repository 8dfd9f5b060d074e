#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "base/callback_guard.hpp"
#include "job_store/batch_builder.hpp"
#include "job_store/change_queue.hpp"
#include "job_store/commit_batch.hpp"
#include "job_store/conflict_reader.hpp"
#include "job_store/job_map.hpp"
#include "job_store/placement_log.hpp"
#include "job_store/transaction_limits.hpp"
#include "kvstore/client.hpp"
#include "net/timer.hpp"

namespace gingerdrift::job_store {

/// A job whose final record is stored, with its terminal state.
struct finished_job {
  job_id id;
  terminal_state state;
};

/// What a successful transaction has stored.
struct commit_outcome {
  std::set<job_id> changed;  // jobs that have changes in the transaction
  std::vector<finished_job> finished;
};

/// The owner of the jobs as group_commit uses it. Each call may destroy the observer and the
/// group_commit.
class commit_observer {
 public:
  virtual ~commit_observer() = default;
  /// Reports whether the leader's lease is valid. Without a valid lease nothing is written, because
  /// another leader may be active.
  virtual bool may_write() = 0;
  /// Called after a transaction succeeded.
  virtual void committed(const commit_outcome& outcome) = 0;
  /// Called when the job's head record is too large to be written until more of its tasks have
  /// ended.
  virtual void head_too_large(const job_id& id) = 0;
  /// Called when the leader key has changed: another controller has become the leader.
  virtual void leadership_lost() = 0;
  /// Called when a job's final record was found, regardless of which leader wrote it.
  virtual void final_state_found(const job_id& id, const terminal_state& end) = 0;
  /// Called when a job's final record was found and is malformed.
  virtual void final_record_malformed(const job_id& id) = 0;
};

/// Writes the changes of the leader's jobs in transactions that combine many changes. At most one
/// transaction is in flight.
///
/// Each transaction is conditional on the leader key and on the version of every key that it
/// writes. A transaction that got no answer and is applied late can therefore not overwrite a newer
/// one. After a conflict the versions of the conflicting keys are read before anything else is
/// written.
class group_commit {
 public:
  /// `leader`: condition on the leader key with this term's version. `sizes`: size limits of values
  /// and transactions. `jobs` and `observer` must outlive this object.
  group_commit(net::runtime& runtime, kvstore::client& store, kvstore::condition leader,
               const kvstore::service_limits& sizes, job_map& jobs, commit_observer& observer);
  group_commit(const group_commit&) = delete;
  group_commit& operator=(const group_commit&) = delete;

  /// Queues a changed unit of a job for writing.
  void queue(const unit_id& unit, write_urgency urgency);
  /// Adds a placement to the placement log, which is written without delay; the job's own record
  /// follows later.
  void add_placement(placement placement);
  /// Restores placements from the placement log of an earlier leader. Must be called after all job
  /// records were read.
  void load_placements(const std::vector<kvstore::entry>& log_entries);
  /// Number of units that wait to be written.
  std::size_t backlog() const { return changes_.size(); }

 private:
  void schedule(duration delay);
  void flush();
  commit_batch build_batch();
  void send(commit_batch batch);
  void handle_result(const commit_batch& batch, const kvstore::result& answer);
  void mark_end_writes_sent(const std::vector<unit_write>& units);

  commit_outcome acknowledge(const commit_batch& batch, store_revision revision);
  void acknowledge_placement(const placement& placement, commit_outcome& outcome);
  void acknowledge_unit(const unit_write& write, store_revision revision, commit_outcome& outcome);

  void handle_failure(const commit_batch& batch, const kvstore::result& answer);
  void requeue(const std::vector<unit_write>& units);
  void resolve_conflict(const std::vector<std::string>& keys);
  void reduce_limits(const commit_batch& batch);
  void set_version(const std::string& key, store_revision version);

  void restore_placement(const placement& placement);

  net::runtime& runtime_;
  kvstore::client& store_;
  kvstore::condition leader_;
  transaction_limits limits_;
  job_map& jobs_;
  commit_observer& observer_;
  placement_log placements_;
  change_queue changes_;
  conflict_reader conflicts_;
  bool busy_ = false;  // a transaction or the reading after a conflict is in progress
  time_point last_placement_write_{};  // time of the latest transaction with placements
  net::timer flush_timer_;
  time_point flush_at_{};  // due time of the timer; valid while it is armed
  callback_guard guard_;
};

}  // namespace gingerdrift::job_store
