#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "base/metrics.hpp"
#include "net/timer.hpp"
#include "peers/peer_network.hpp"

namespace gingerdrift::daemon {

/// Adds all counters and the time spent on each activity to a status report.
void add_metrics(const metrics& metrics, nlohmann::json& report);
/// Adds the state of each peer, as this controller sees it, to a status report.
void add_peers(const peers::peer_network& network, nlohmann::json& report);

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

}  // namespace gingerdrift::daemon
