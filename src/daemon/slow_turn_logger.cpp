#include "daemon/slow_turn_logger.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::daemon {

namespace {
/// Turns of at least this length are logged.
constexpr auto slow_turn = milliseconds(500);

std::int64_t to_ms(duration value) {
  return std::chrono::duration_cast<milliseconds>(value).count();
}
}  // namespace

void slow_turn_logger::turn_finished(duration busy) {
  metrics_.loop_turns.add(busy);
  metrics_.longest_loop_turn = std::max(metrics_.longest_loop_turn, busy);
  const loop_activity_times& now = metrics_.loop_activities;
  if (busy >= slow_turn) {
    spdlog::info(
        "event_loop_turn_slow busy_ms={} heartbeats_ms={} user_requests_ms={} peers_ms={} "
        "recovery_ms={} snapshots_ms={} decisions_ms={} maintenance_ms={}",
        to_ms(busy), to_ms(now.heartbeats - before_.heartbeats),
        to_ms(now.user_requests - before_.user_requests),
        to_ms(now.peer_requests - before_.peer_requests), to_ms(now.recovery - before_.recovery),
        to_ms(now.snapshots - before_.snapshots), to_ms(now.decisions - before_.decisions),
        to_ms(now.maintenance - before_.maintenance));
  }
  before_ = now;
}

}  // namespace gingerdrift::daemon
