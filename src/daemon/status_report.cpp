#include "daemon/status_report.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::daemon {

namespace {
constexpr auto log_period = seconds(30);
/// Period of the reports of requests that were not answered.
constexpr auto failure_log_period = seconds(10);
}  // namespace

void add_metrics(const metrics& metrics, nlohmann::json& report) {
  report["heartbeats"] = metrics.heartbeats;
  report["heartbeats_redirected"] = metrics.redirected_heartbeats;
  report["heartbeats_expired"] = metrics.expired_heartbeats;
  report["heartbeat_wait"] = metrics.heartbeat_waits.summary();
  report["starts"] = metrics.starts;
  report["preemptions"] = metrics.preemptions;
  report["upgrades"] = metrics.upgrades;
  report["loop_delay"] = metrics.loop_delays.summary();
  report["cycles"] = metrics.scheduling_cycles.summary();
  report["user_requests"] = metrics.user_requests;
  report["loop_turns"] = metrics.loop_turns.summary();
  report["loop_turns"]["max_ms"] = to_seconds(metrics.longest_loop_turn) * 1000;
  const loop_activity_times& spent = metrics.loop_activities;
  report["spent_s"] = {{"heartbeats", to_seconds(spent.heartbeats)},
                       {"user_requests", to_seconds(spent.user_requests)},
                       {"peers", to_seconds(spent.peer_requests)},
                       {"recovery", to_seconds(spent.recovery)},
                       {"maintenance", to_seconds(spent.maintenance)},
                       {"snapshots", to_seconds(spent.snapshots)},
                       {"cycles", to_seconds(metrics.scheduling_cycles.total())},
                       {"decisions", to_seconds(spent.decisions)}};
}

void add_peers(const peers::peer_network& network, nlohmann::json& report) {
  for (const auto& [node, peer] : network.peers()) {
    report["peers"][node.str()] = {{"seen", network.recently_seen(peer)},
                                   {"store_reachable", peer.store_reachable}};
  }
}

void add_server(const std::string& name, const net::server_statistics& server,
                nlohmann::json& report) {
  report["servers"][name] = {{"open", server.open},
                             {"open_max", server.open_max},
                             {"accepted", server.accepted},
                             {"refused_at_limit", server.refused_at_limit},
                             {"closed_for_others", server.closed_for_others},
                             {"closed_near_limit", server.closed_near_limit}};
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

query_failure_logger::query_failure_logger(net::runtime& runtime,
                                           const api::answer_statistics& statistics,
                                           leader_fn leader)
    : statistics_(statistics), leader_(std::move(leader)), timer_(runtime) {}

void query_failure_logger::start() {
  timer_.start(failure_log_period, [this] { log_failures(); });
}

void query_failure_logger::log_failures() {
  start();
  const std::string failures = statistics_.failures_since(logged_);
  logged_ = statistics_;
  if (failures.empty()) return;
  const peers::leader_identity leader = leader_();
  spdlog::info("requests_not_answered leader={} term={} {}", leader.node, leader.token, failures);
}

}  // namespace gingerdrift::daemon
