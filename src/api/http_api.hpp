#pragma once

#include <optional>
#include <string>
#include <vector>

#include "api/job_state_reader.hpp"
#include "api/node_services.hpp"
#include "api/submissions.hpp"
#include "api/terminal_state_cache.hpp"
#include "base/callback_guard.hpp"

namespace gingerdrift::api {

/// How a controller's users' HTTP API is set up.
struct options {
  submission_options submissions;
  std::uint32_t terminal_cache_capacity = 16384;  // terminal states that are cached
  job_store::cancellation_acknowledgement cancellation =
      job_store::cancellation_acknowledgement::when_stored;
  node_name node;  // this controller
};

/// The users' HTTP API, the same on every controller: routes requests and answers them, from the
/// leader's memory, by way of the leader, or from the state service.
class http_api {
 public:
  /// `teams`: those that may submit, with their limits. `services` has to outlive the API.
  http_api(net::runtime& runtime, kvstore::client& store, const options& options,
           std::vector<config::team> teams, node_services& services);
  ~http_api() = default;
  http_api(const http_api&) = delete;
  http_api& operator=(const http_api&) = delete;

  /// Answers a request, at once or later. `forwarded`: it comes from a peer and is not passed on
  /// again.
  void handle(const net::request& message, bool forwarded, const net::reply_fn& reply);
  /// A job is over, as its stored record says.
  void cache_terminal_state(const job_id& id, const job_store::terminal_state& state) {
    terminal_states_.insert(id, state);
  }
  /// How the job ended; nothing: not known here.
  std::optional<job_store::terminal_state> cached_terminal_state(const job_id& id) const {
    return terminal_states_.find(id);
  }

 private:
  /// A request about one job.
  struct job_request {
    job_id id;
    const net::request& message;
    bool forwarded = false;
  };
  void handle_job(const std::string& path, const net::request& message, bool forwarded,
                  const net::reply_fn& reply);
  void read_state(const job_request& request, const net::reply_fn& reply);
  void cancel(const job_request& request, const net::reply_fn& reply);
  void cancel_unknown(const job_id& id, const net::reply_fn& reply);

  net::runtime& runtime_;
  node_services& services_;
  terminal_state_cache terminal_states_;
  job_state_reader states_;
  submissions submissions_;
  callback_guard guard_;
};

}  // namespace gingerdrift::api
