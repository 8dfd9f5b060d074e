#pragma once

#include <compare>
#include <functional>
#include <map>

#include "net/transport.hpp"

namespace gingerdrift::testing {

/// The start of virtual time.
constexpr time_point simulation_start{seconds(1000)};

/// A clock with virtual time and scheduled actions. Actions run in the order of their due times;
/// those with the same due time run in the order in which they were scheduled.
class virtual_clock {
 public:
  time_point now() const { return now_; }
  /// Returns the seconds since the start of the simulation.
  double seconds_now() const { return to_seconds(now_ - simulation_start); }
  /// Schedules an action. One whose due time has passed is due at the current time.
  net::timer_id run_at(time_point due, std::function<void()> action);
  net::timer_id after(duration delay, std::function<void()> action) {
    return run_at(now_ + delay, std::move(action));
  }
  /// Cancels a scheduled action. Has no effect if the action has already run.
  void cancel(net::timer_id id);
  /// Runs all actions that become due within the span and advances the time to its end.
  void run_for(duration span);

 private:
  /// Ordered by due time, then by the order of scheduling.
  struct event_key {
    time_point due;
    net::timer_id id;
    auto operator<=>(const event_key&) const = default;
  };

  time_point now_ = simulation_start;
  net::timer_id next_id_ = 1;
  std::map<event_key, std::function<void()>> events_;
  std::map<net::timer_id, time_point> due_times_;
};

}  // namespace gingerdrift::testing
