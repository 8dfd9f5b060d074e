#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>

#include "base/time.hpp"
#include "net/event_loop.hpp"
#include "net/uv_handle.hpp"

namespace gingerdrift::net {

/// Measures how long each turn of the event loop was busy. A turn is one poll for events, the
/// callbacks of these events and the timers that are due after them; no timer fires within it. The
/// time in which the loop waits for events is not counted. Must be used on the event loop's thread.
class turn_meter {
 public:
  /// Receives the busy time of a turn at its end.
  using turn_fn = std::function<void(duration busy)>;
  /// `loop` has to outlive the meter and must not have run yet.
  turn_meter(event_loop& loop, turn_fn turn_finished);
  turn_meter(const turn_meter&) = delete;
  turn_meter& operator=(const turn_meter&) = delete;

 private:
  void finish_turn();

  event_loop& loop_;
  turn_fn turn_finished_;
  handle_ptr<uv_prepare_t> turn_end_;
  time_point turn_start_;
  duration idle_before_{};
};

}  // namespace gingerdrift::net
