#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "base/callback_guard.hpp"
#include "job_store/completion_waiters.hpp"
#include "job_store/group_commit.hpp"
#include "job_store/job.hpp"
#include "job_store/job_map.hpp"
#include "job_store/recent_completions.hpp"
#include "kvstore/client.hpp"

namespace gingerdrift::job_store {

/// The leader's unfinished jobs, which are written to the store as they change.
///
/// Code that changes stored state of a job must mark the change here; a group commit then writes
/// it. When there are more changes than the store's limits allow, final states and cancellations
/// take precedence over placements, and placements over deferrable changes.
class job_table : private commit_observer {
 public:
  /// Queries and notifications to the owner. Each of them may destroy the table.
  struct hooks {
    /// Called when changes of the job were stored.
    std::function<void(const job_id& id)> stored;
    /// Called when the job's final record is stored and the job was removed from the table.
    std::function<void(const job_id& id, const terminal_state& end)> finalized;
    /// Called after `stored` and `finalized` were called for all jobs of a transaction.
    std::function<void()> committed;
    /// Called when the leader key has changed: another controller has become the leader.
    std::function<void()> deposed;
    /// Reports whether the leader's lease is valid.
    std::function<bool()> may_write;
  };
  /// `leader`: condition on the leader key with this term's version. `sizes`: size limits of values
  /// and transactions.
  job_table(net::runtime& runtime, kvstore::client& store, kvstore::condition leader,
            const kvstore::service_limits& sizes, hooks owner);
  job_table(const job_table&) = delete;
  job_table& operator=(const job_table&) = delete;

  /// Returns the job, or null if the table does not contain it. The pointer stays valid until the
  /// job is removed from the table.
  job* find(const job_id& id) { return find_job(jobs_, id); }
  const job* find(const job_id& id) const { return find_job(jobs_, id); }
  job& insert(job job);
  job_map& all() { return jobs_; }
  const job_map& all() const { return jobs_; }

  /// Marks a change of a task. A deferrable change waits for a short time and is then written
  /// together with all other changes of the same record.
  void mark_task(job& job, std::uint32_t task, write_urgency urgency);
  /// Marks a change of the head that a user waits for.
  void mark_head(job& job) { mark_unit(job, 0, write_urgency::urgent); }
  /// Marks a change of the head that no user waits for.
  void mark_head_deferrable(job& job) { mark_unit(job, 0, write_urgency::deferrable); }
  /// Marks a new attempt at a task. The placement log stores it without delay; the job's record
  /// follows later.
  void mark_placed(job& job, std::uint32_t task);
  /// Restores placements from the placement log of an earlier leader. Must be called after all job
  /// records were read.
  void load_placements(const std::vector<kvstore::entry>& log_entries) {
    commits_.load_placements(log_entries);
  }
  /// Starts replacing all records of an ended job without attempts by its final record. Once that
  /// is stored, the job is removed from the table.
  void finalize(job& job);

  using terminal_fn = completion_waiters::terminal_fn;
  /// Calls `done` with the job's terminal state once that is stored, or with nothing if it can't be
  /// determined.
  void when_terminal(const job& job, terminal_fn done);
  /// Reports whether a head record that was requested at `read_at` may be older than the end of its
  /// job.
  bool may_have_ended_since(const job_id& id, time_point read_at) const {
    return completions_.may_have_ended_since(id, read_at);
  }
  /// Number of record units that wait to be written.
  std::size_t backlog() const { return commits_.backlog(); }

 private:
  bool may_write() override { return owner_.may_write(); }
  void committed(const commit_outcome& outcome) override;
  void head_too_large(const job_id& id) override;
  void leadership_lost() override { owner_.deposed(); }
  void final_state_found(const job_id& id, const terminal_state& end) override;
  void final_record_malformed(const job_id& id) override;

  void mark_unit(job& job, std::size_t unit, write_urgency urgency);
  void notify_waiters(const job_id& id);
  void remove(const job_id& id, const terminal_state& end);

  net::runtime& runtime_;
  hooks owner_;
  job_map jobs_;
  completion_waiters waiters_;
  recent_completions completions_;
  group_commit commits_;
  callback_guard guard_;
};

}  // namespace gingerdrift::job_store
