#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/callback_guard.hpp"
#include "base/ids.hpp"
#include "job_store/terminal_state.hpp"
#include "kvstore/client.hpp"
#include "net/transport.hpp"

namespace gingerdrift::job_store {

/// Reads the keys whose versions made a transaction of the leader fail.
///
/// Only the leader writes these keys. A conflict therefore means either that an earlier transaction
/// of this leader, which got no answer, was applied after all, or that a successor has taken over
/// and this leader has not noticed it yet. For this reason nothing is concluded from the absence of
/// a key; only the final record of a job shows how the job ended.
class conflict_reader {
 public:
  /// Queries and notifications to the owner.
  struct callbacks {
    /// Reports whether the leader's lease is valid.
    std::function<bool()> may_read;
    /// Called with the version of a key; 0: the key is absent.
    std::function<void(const std::string& key, store_revision version)> version_read;
    /// Called when the job's final record was found.
    std::function<void(const job_id& job, const terminal_state& end)> final_state_read;
    /// Called when the job's final record was found and is malformed.
    std::function<void(const job_id& job)> final_record_malformed;
    /// Called once every key has been handled.
    std::function<void()> finished;
  };
  conflict_reader(net::runtime& runtime, kvstore::client& store, callbacks owner);
  conflict_reader(const conflict_reader&) = delete;
  conflict_reader& operator=(const conflict_reader&) = delete;

  /// Reads these keys, starting with the last one. Must not be called again before `finished` was
  /// called.
  void start(std::vector<std::string> keys);

 private:
  void read_next();
  void schedule_next_read(duration delay);
  void read_key(const std::string& key);
  void handle_key_result(const std::string& key, const kvstore::result& answer);
  void read_final_record(const job_id& job);
  void handle_final_record_result(const job_id& job, const kvstore::result& answer);
  void report_final_record(const job_id& job, const kvstore::entry& record);
  void finish_key();

  net::runtime& runtime_;
  kvstore::client& store_;
  callbacks owner_;
  std::vector<std::string> remaining_keys_;
  callback_guard guard_;
};

}  // namespace gingerdrift::job_store
