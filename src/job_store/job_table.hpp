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
/// Whoever changes what is stored of a job marks it here; a group commit then writes it. What is
/// written first when there is more than the store's limits allow: final states and cancellations,
/// then placements, then progress.
class job_table : private commit_observer {
 public:
  /// What the table asks and tells its owner. Each may destroy the table.
  struct hooks {
    /// Some of this job's changes are stored.
    std::function<void(const job_id& id)> stored;
    /// The job's final record is stored, and the job has left the table.
    std::function<void(const job_id& id, const terminal_state& end)> finalized;
    /// All that a transaction stored was told of.
    std::function<void()> committed;
    /// The leader key is another's.
    std::function<void()> deposed;
    /// Whether the leader's lease is valid.
    std::function<bool()> may_write;
  };
  /// `leader`: the leader key with this term's version. `sizes`: the largest values and
  /// transactions it writes.
  job_table(net::runtime& runtime, kvstore::client& store, kvstore::condition leader,
            const kvstore::service_limits& sizes, hooks owner);
  job_table(const job_table&) = delete;
  job_table& operator=(const job_table&) = delete;

  /// The job, or nothing if it is not held. It stays where it is until its end.
  job* find(const job_id& id) { return find_job(jobs_, id); }
  const job* find(const job_id& id) const { return find_job(jobs_, id); }
  job& insert(job job);
  job_map& all() { return jobs_; }
  const job_map& all() const { return jobs_; }

  /// Something of a task has changed. Progress can wait a little, and then goes with whatever else
  /// has changed in the record by that time.
  void mark_task(job& job, std::uint32_t task, write_urgency urgency);
  /// A change of the head that a user waits for.
  void mark_head(job& job) { mark_unit(job, 0, write_urgency::urgent); }
  /// A change of the head that nobody waits for.
  void mark_head_deferrable(job& job) { mark_unit(job, 0, write_urgency::deferrable); }
  /// A new attempt at a task: the placement log stores it at once, its record follows.
  void mark_placed(job& job, std::uint32_t task);
  /// Keys of the placement log, as an earlier leader left them; after all records were read.
  void load_placements(const std::vector<kvstore::entry>& log_entries) {
    commits_.load_placements(log_entries);
  }
  /// A finished job without attempts moves to its final key and leaves the table.
  void finalize(job& job);

  using terminal_fn = completion_waiters::terminal_fn;
  /// Calls back with how the job ended once that is stored, or with nothing when it can't be said.
  void when_terminal(const job& job, terminal_fn done);
  /// Whether a head record, asked for at that time, may be older than the end of its job.
  bool may_have_ended_since(const job_id& id, time_point read_at) const {
    return completions_.may_have_ended_since(id, read_at);
  }
  /// Units of records that wait to be written.
  std::size_t backlog() const { return commits_.backlog(); }

 private:
  bool may_write() override { return owner_.may_write(); }
  void committed(const commit_outcome& outcome) override;
  void head_too_large(const job_id& id) override;
  void leadership_lost() override { owner_.deposed(); }
  void end_found(const job_id& id, const terminal_state& end) override;
  void end_unreadable(const job_id& id) override;

  void mark_unit(job& job, std::size_t unit, write_urgency urgency);
  void answer_waiters(const job_id& id);
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
