#include "daemon/status_report.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::daemon {

namespace {
constexpr auto log_period = seconds(30);
}  // namespace

void add_metrics(const metrics& metrics, nlohmann::json& report) {
  report["heartbeats"] = metrics.heartbeats;
  report["heartbeats_redirected"] = metrics.redirected_heartbeats;
  report["starts"] = metrics.starts;
  report["preemptions"] = metrics.preemptions;
  report["upgrades"] = metrics.upgrades;
  report["cycles"] = metrics.scheduling_cycles.summary();
  report["user_requests"] = metrics.user_requests;
  report["spent_s"] = {{"heartbeats", to_seconds(metrics.heartbeat_time)},
                       {"user_requests", to_seconds(metrics.user_request_time)},
                       {"peers", to_seconds(metrics.peer_request_time)},
                       {"snapshots", to_seconds(metrics.snapshot_time)},
                       {"cycles", to_seconds(metrics.scheduling_cycles.total())},
                       {"decisions", to_seconds(metrics.decision_time)}};
}

void add_peers(const peers::peer_network& network, nlohmann::json& report) {
  for (const auto& [node, peer] : network.peers()) {
    report["peers"][node.str()] = {{"seen", network.recently_seen(peer)},
                                   {"store_reachable", peer.store_reachable}};
  }
}

status_logger::status_logger(net::runtime& runtime, callbacks owner_callbacks)
    : callbacks_(std::move(owner_callbacks)), timer_(runtime) {}

void status_logger::start() {
  timer_.start(log_period, [this] { log_status(); });
}

void status_logger::log_status() {
  start();
  if (callbacks_.is_leader()) spdlog::info("status_report {}", callbacks_.status());
}

}  // namespace gingerdrift::daemon
