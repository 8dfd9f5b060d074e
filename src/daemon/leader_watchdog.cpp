#include "daemon/leader_watchdog.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::daemon {

namespace {
constexpr auto check_period = milliseconds(500);
/// A check this late means that the process stood still.
constexpr auto standstill = seconds(2);
/// Of so many machines, one at least sends a heartbeat in each period, give or take a quarter.
constexpr std::size_t many_machines = 20;
/// A worker that gets no answer turns to another controller after 4 s; half a second on top.
constexpr duration redirect_delay = milliseconds(4500);
/// How long a leader that stepped down leaves elections to its peers.
constexpr auto election_back_off = seconds(15);
}  // namespace

leader_watchdog::leader_watchdog(net::runtime& runtime, duration heartbeat_period,
                                 const peers::peer_network& peers,
                                 leadership::leader_elector& elector, leading_term_fn leading_term)
    : runtime_(runtime),
      heartbeat_period_(heartbeat_period),
      peers_(peers),
      elector_(elector),
      leading_term_(std::move(leading_term)),
      timer_(runtime) {}

void leader_watchdog::start() {
  last_check_ = runtime_.now();
  check();
}

void leader_watchdog::check() {
  timer_.start(check_period, [this] { check(); });
  log_standstill();
  const auto* term = leading_term_();
  if (term == nullptr || term->known_machine_count() == 0) return;
  if (runtime_.now() - term->last_heartbeat() >= patience(*term)) step_down_for_a_peer();
}

void leader_watchdog::log_standstill() {
  const time_point now = runtime_.now();
  const duration since_last_check = now - last_check_;
  last_check_ = now;
  if (since_last_check > standstill)
    spdlog::info("process_stalled for_s={:.1f}", to_seconds(since_last_check));
}

/// How long a leader may be without heartbeats. With many machines silence shows sooner. Workers
/// still on their way to a new leader get the longer time.
duration leader_watchdog::patience(const leader::leader_term& term) const {
  const duration longest = heartbeat_period_ * 2 + seconds(1);
  if (term.known_machine_count() < many_machines || !term.has_received_heartbeats()) return longest;
  return std::min(longest, std::max(heartbeat_period_, redirect_delay));
}

void leader_watchdog::step_down_for_a_peer() {
  for (const auto& [node, peer] : peers_.peers()) {
    if (!peers_.recently_seen(peer) || peer.heartbeats_seen == 0) continue;
    spdlog::info("leader_unreachable_for_workers node={}", node);
    elector_.yield_leadership(election_back_off);
    return;
  }
}

}  // namespace gingerdrift::daemon
