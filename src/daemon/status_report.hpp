#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "api/answer_statistics.hpp"
#include "base/metrics.hpp"
#include "net/http_server.hpp"
#include "net/timer.hpp"
#include "peers/peer_network.hpp"

namespace gingerdrift::daemon {

/// Adds all counters and the time spent on each activity to a status report.
void add_metrics(const metrics& metrics, nlohmann::json& report);
/// Adds the state of each peer, as this controller sees it, to a status report.
void add_peers(const peers::peer_network& network, nlohmann::json& report);

/// Adds the connections of the server with this name to a status report.
void add_server(const std::string& name, const net::server_statistics& server,
                nlohmann::json& report);

/// Periodically logs the status report while this controller is leader, so that the log of a busy
/// deployment shows its state over time. Not thread-safe; runs on the thread of the runtime.
class status_logger {
 public:
  /// Queries to the controller that owns the logger.
  struct callbacks {
    /// Reports whether this controller is leader. Other controllers log no status.
    std::function<bool()> is_leader;
    /// Returns the status report as a single line of text.
    std::function<std::string()> status;
  };
  status_logger(net::runtime& runtime, callbacks owner_callbacks);

  /// Starts to log the status; the first report follows after one period.
  void start();

 private:
  void log_status();

  callbacks callbacks_;
  net::timer timer_;
};

/// Logs on every controller, at most once per period, how many requests were not answered since the
/// previous record, by reason. Not thread-safe; runs on the thread of the runtime.
class query_failure_logger {
 public:
  /// Returns the leader that this controller knows.
  using leader_fn = std::function<peers::leader_identity()>;
  /// `statistics` has to outlive the logger.
  query_failure_logger(net::runtime& runtime, const api::answer_statistics& statistics,
                       leader_fn leader);

  /// Starts the periodic check.
  void start();

 private:
  void log_failures();

  const api::answer_statistics& statistics_;
  api::answer_statistics logged_;
  leader_fn leader_;
  net::timer timer_;
};

}  // namespace gingerdrift::daemon
