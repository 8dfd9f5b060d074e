#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/callback_guard.hpp"
#include "base/ids.hpp"
#include "job_store/terminal_state.hpp"
#include "kvstore/client.hpp"

namespace gingerdrift::dependencies {

/// Reads from the store the state of jobs that other jobs wait for.
///
/// Most of these jobs ended long ago, so their final records are read first. After a failover there
/// may be thousands of them; jobs whose ids are close to each other are therefore read in one page.
/// A job without a final record was accepted by another controller, is not in the leader's job
/// table yet, and has a head record. Jobs that can't be resolved yet go to the end of the queue, so
/// that unreadable records, however many, don't delay the others.
class progress_lookup {
 public:
  /// The owner's callbacks.
  struct callbacks {
    /// Tries to resolve the job without the store; returns true if nothing has to be read.
    std::function<bool(const job_id& job)> resolve;
    /// Called when the job's final record has been read.
    std::function<void(const job_id& job, const job_store::terminal_state& end)> job_ended;
    /// Called with a head record and the time at which the read was sent; returns true if the job
    /// is in the owner's job table afterwards.
    std::function<bool(const kvstore::entry& head, time_point read_at)> load_head;
  };
  /// The callbacks run from within start() and whenever the store responds.
  progress_lookup(net::runtime& runtime, kvstore::client& store, callbacks owner_callbacks);
  progress_lookup(const progress_lookup&) = delete;
  progress_lookup& operator=(const progress_lookup&) = delete;

  /// Adds a job to the queue, unless it is pending already.
  void add(const job_id& job);
  /// Starts reading the queued jobs, unless a batch is in progress.
  void start();

 private:
  /// Job ids in key order, which are read one page after the other.
  using batch = std::vector<job_id>;
  void read_final_records(const std::shared_ptr<batch>& ids, std::size_t next);
  void handle_final_records(const std::shared_ptr<batch>& ids, std::size_t next,
                            const kvstore::result& page);
  void apply_final_record(const job_id& job, const kvstore::entry& record);
  void read_head(const job_id& job);
  void handle_head(const job_id& job, const kvstore::result& result);
  void retry_malformed(const job_id& job);
  void retry_later(const job_id& job);
  void mark_resolved(const job_id& job);

  net::runtime& runtime_;
  kvstore::client& store_;
  callbacks callbacks_;
  std::deque<job_id> queue_;
  std::set<job_id> pending_;  // jobs that are queued, being read, or scheduled for a retry
  std::map<job_id, std::uint32_t> malformed_reads_;  // consecutive reads of a malformed record
  bool batch_in_progress_ = false;
  callback_guard guard_;
};

}  // namespace gingerdrift::dependencies
