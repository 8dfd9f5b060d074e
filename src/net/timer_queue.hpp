#pragma once

#include <functional>
#include <map>
#include <unordered_map>

#include "net/transport.hpp"
#include "net/uv_handle.hpp"

namespace gingerdrift::net {

/// Runs all timers of an event loop on a single libuv timer. Must be used on the event loop's
/// thread.
class timer_queue {
 public:
  explicit timer_queue(uv_loop_t* loop);
  timer_queue(const timer_queue&) = delete;
  timer_queue& operator=(const timer_queue&) = delete;

  /// Returns the current time of the clock that due times refer to.
  static time_point now() { return std::chrono::steady_clock::now(); }
  /// Runs `action` after `delay`. Actions run in order of their due times; actions with equal due
  /// times run in order of creation.
  timer_id after(duration delay, std::function<void()> action);
  /// Cancels an action that has not run yet. Does nothing if the timer is unknown.
  void cancel(timer_id id);

 private:
  /// A pending action. Its due time is the key of the schedule.
  struct entry {
    timer_id id;
    std::function<void()> action;
  };
  using schedule = std::multimap<time_point, entry>;

  void arm_timer(duration least_delay);
  void run_due();

  handle_ptr<uv_timer_t> handle_;
  schedule schedule_;                                         // ordered by due time
  std::unordered_map<timer_id, schedule::iterator> entries_;  // by timer
  timer_id next_id_ = 1;
  bool running_ = false;  // run_due() runs
};

}  // namespace gingerdrift::net
