#pragma once

#include "base/metrics.hpp"

namespace gingerdrift::daemon {

/// Records how long the turns of the event loop take, and logs each long one with the time spent on
/// each activity in it. Everything else on the loop waits for the end of a turn: a leader's lease
/// is not renewed, and health checks and users are not answered. Must be used on the event loop's
/// thread.
class slow_turn_logger {
 public:
  /// `controller_metrics` has to outlive the logger.
  explicit slow_turn_logger(metrics& controller_metrics) : metrics_(controller_metrics) {}

  /// To be called at the end of each turn, with the time for which the loop was busy in it.
  void turn_finished(duration busy);

 private:
  metrics& metrics_;
  loop_activity_times before_;  // this turn
};

}  // namespace gingerdrift::daemon
