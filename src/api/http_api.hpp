#pragma once

#include <optional>
#include <string>
#include <vector>

#include "api/answer_statistics.hpp"
#include "api/job_state_reader.hpp"
#include "api/leader_query_forwarder.hpp"
#include "api/node_services.hpp"
#include "api/query_batch.hpp"
#include "api/submissions.hpp"
#include "api/terminal_state_cache.hpp"
#include "base/callback_guard.hpp"

namespace gingerdrift::api {

/// Options of the HTTP API for users.
struct options {
  submission_options submissions;
  std::uint32_t terminal_cache_capacity = 16384;  // maximum number of cached terminal states
  job_store::cancellation_acknowledgement cancellation =
      job_store::cancellation_acknowledgement::when_stored;
  node_name node;  // name of this controller
};

/// The HTTP API for users, which every controller serves.
///
/// Routes requests by path and method, and answers them from the leader's memory, by forwarding
/// them to the leader, or from the state service.
class http_api {
 public:
  /// `teams`: the teams that may submit jobs, with their limits. `services` has to outlive the API.
  http_api(net::runtime& runtime, kvstore::client& store, const options& options,
           std::vector<config::team> teams, node_services& services);
  ~http_api() = default;
  http_api(const http_api&) = delete;
  http_api& operator=(const http_api&) = delete;

  /// Handles a request and replies, within this call or later. `forwarded`: the request comes from
  /// a peer and must not be forwarded again.
  void handle(const net::request& message, bool forwarded, const net::reply_fn& reply);
  /// Caches the terminal state of a job. `state` must come from the job's stored record.
  void cache_terminal_state(const job_id& id, const job_store::terminal_state& state) {
    terminal_states_.insert(id, state);
  }
  /// Returns how the job ended, or nothing if its terminal state is not in the cache.
  std::optional<job_store::terminal_state> cached_terminal_state(const job_id& id) const {
    return terminal_states_.find(id);
  }

  /// Returns how queries were answered, and why requests were not answered.
  const answer_statistics& statistics() const { return statistics_; }

 private:
  /// A request about a single job. Valid only during the call that handles it, because it refers
  /// to the message.
  struct job_request {
    job_id id;
    const net::request& message;
    bool forwarded = false;
  };
  void handle_job(const std::string& path, const net::request& message, bool forwarded,
                  const net::reply_fn& reply);
  void answer_query_batch(const net::request& message, const net::reply_fn& reply);
  query_answer answer_from_memory(const job_id& id);
  /// Returns a reply function that also counts the response if it comes too late for its user.
  net::reply_fn count_if_late(const net::reply_fn& reply);
  void read_state(const job_request& request, const net::reply_fn& reply);
  void cancel(const job_request& request, const net::reply_fn& reply);
  void cancel_job_not_in_memory(const job_id& id, const net::reply_fn& reply);

  net::runtime& runtime_;
  node_services& services_;
  answer_statistics statistics_;
  terminal_state_cache terminal_states_;
  job_state_reader state_reader_;
  submissions submissions_;
  leader_query_forwarder forwarder_;
  callback_guard guard_;
};

}  // namespace gingerdrift::api
