#include "daemon/leader_watchdog.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::daemon {

namespace {
constexpr auto check_period = milliseconds(500);
/// If two checks are further apart than this, the process has been stalled.
constexpr auto stall_threshold = seconds(2);
/// In a fleet of at least this many machines, some heartbeat arrives in every heartbeat period,
/// with a deviation of about a quarter of the period.
constexpr std::size_t large_fleet_machines = 20;
/// A worker that gets no answer turns to another controller after 4 s; half a second is added as a
/// margin.
constexpr duration worker_failover_delay = milliseconds(4500);
/// How long a leader that has stepped down leaves elections to its peers, so that one of them can
/// win.
constexpr auto election_back_off = seconds(15);
}  // namespace

leader_watchdog::leader_watchdog(net::runtime& runtime, duration heartbeat_period,
                                 const peers::peer_network& peers,
                                 leadership::leader_elector& elector, metrics& controller_metrics,
                                 leading_term_fn leading_term)
    : runtime_(runtime),
      heartbeat_period_(heartbeat_period),
      peers_(peers),
      elector_(elector),
      metrics_(controller_metrics),
      leading_term_(std::move(leading_term)),
      timer_(runtime) {}

void leader_watchdog::start() {
  last_check_ = runtime_.now();
  check();
}

void leader_watchdog::check() {
  timer_.start(check_period, [this] { check(); });
  measure_loop_delay();
  const auto* term = leading_term_();
  if (term == nullptr || term->known_machine_count() == 0) return;
  if (runtime_.now() - term->last_heartbeat() >= heartbeat_timeout(*term))
    step_down_if_peer_receives_heartbeats();
}

void leader_watchdog::measure_loop_delay() {
  const time_point now = runtime_.now();
  const duration since_last_check = now - last_check_;
  last_check_ = now;
  metrics_.loop_delays.add(std::max(duration::zero(), since_last_check - check_period));
  if (since_last_check > stall_threshold)
    spdlog::info("process_stalled for_s={:.1f}", to_seconds(since_last_check));
}

/// Returns how long the leader may go without heartbeats. In a large fleet a missing heartbeat is
/// conclusive sooner, so the time is shorter there. A new leader that has not yet received any
/// heartbeat gets the longer time, since workers may still be switching to it.
duration leader_watchdog::heartbeat_timeout(const leader::leader_term& term) const {
  const duration default_timeout = heartbeat_period_ * 2 + seconds(1);
  if (term.known_machine_count() < large_fleet_machines || !term.has_received_heartbeats())
    return default_timeout;
  return std::min(default_timeout, std::max(heartbeat_period_, worker_failover_delay));
}

void leader_watchdog::step_down_if_peer_receives_heartbeats() {
  for (const auto& [node, peer] : peers_.peers()) {
    if (!peers_.recently_seen(peer) || peer.heartbeats_seen == 0) continue;
    spdlog::info("leader_unreachable_for_workers node={}", node);
    elector_.yield_leadership(election_back_off);
    return;
  }
}

}  // namespace gingerdrift::daemon
