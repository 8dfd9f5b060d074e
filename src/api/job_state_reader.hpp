#pragma once

#include <functional>
#include <string>

#include "api/answer_statistics.hpp"
#include "api/terminal_state_cache.hpp"
#include "base/callback_guard.hpp"
#include "job_store/job_state.hpp"
#include "kvstore/client.hpp"
#include "net/transport.hpp"

namespace gingerdrift::api {

/// Answers users' requests for the state of a job from the records in the state service.
class job_state_reader {
 public:
  /// `cancellation`: when users are told that a job is cancelled. Terminal states that are read are
  /// inserted into the cache `terminal_states`. `terminal_states` and `statistics` have to outlive
  /// the reader.
  job_state_reader(net::runtime& runtime, kvstore::client& store,
                   terminal_state_cache& terminal_states, answer_statistics& statistics,
                   job_store::cancellation_acknowledgement cancellation);
  ~job_state_reader() = default;
  job_state_reader(const job_state_reader&) = delete;
  job_state_reader& operator=(const job_state_reader&) = delete;

  /// Replies with the job's state, with 404 if the job was never accepted, or with 503 if its state
  /// can't be determined now.
  void read(const job_id& id, const net::reply_fn& reply);

 private:
  using present_fn = std::function<void(const kvstore::result&)>;
  using absent_fn = std::function<void()>;
  /// Reads a key and calls `on_present` or `on_absent`. Replies 503 itself if the state service
  /// does not answer, or if the key was absent but the result is too old to rely on.
  void read_key(const std::string& key, const net::reply_fn& reply, present_fn on_present,
                absent_fn on_absent);
  void read_final(const job_id& id, const net::reply_fn& reply, absent_fn on_absent);
  void read_head(const job_id& id, const net::reply_fn& reply);
  void read_final_again(const job_id& id, const net::reply_fn& reply);
  void reply_unless_head_exists(const job_id& id, const job_store::terminal_state& state,
                                const net::reply_fn& reply);
  bool is_outdated(const kvstore::result& read_result) const;
  void reply_from_head(const job_id& id, const kvstore::result& read_result,
                       const net::reply_fn& reply);
  void reply_from_final(const job_id& id, const kvstore::entry& record, const net::reply_fn& reply);

  net::runtime& runtime_;
  kvstore::client& store_;
  terminal_state_cache& terminal_states_;
  answer_statistics& statistics_;
  job_store::cancellation_acknowledgement cancellation_;
  callback_guard guard_;
};

}  // namespace gingerdrift::api
