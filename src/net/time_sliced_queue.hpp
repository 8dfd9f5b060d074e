#pragma once

#include <deque>
#include <functional>

#include "base/time.hpp"
#include "net/timer.hpp"
#include "net/transport.hpp"

namespace gingerdrift::net {

/// Runs actions one after the other, in slices of limited duration. Between two slices, the event
/// loop runs its timers and handles what has arrived, so that a burst of actions delays neither for
/// long. A slice may take as long as the loop's other work since the previous one, so that neither
/// of the two gets less than half of the processor. Must be used on the runtime's thread.
class time_sliced_queue {
 public:
  explicit time_sliced_queue(runtime& runtime);
  time_sliced_queue(const time_sliced_queue&) = delete;
  time_sliced_queue& operator=(const time_sliced_queue&) = delete;

  /// Runs the action during this call, or in a later slice if the current one is used up or other
  /// actions wait. An action that still waits when the queue is destroyed does not run.
  void run(std::function<void()> action);
  /// Returns the number of waiting actions.
  std::size_t size() const { return actions_.size(); }

  /// Least and greatest duration of a slice. A single action may exceed them.
  static constexpr duration min_slice = milliseconds(20);
  static constexpr duration max_slice = milliseconds(100);

 private:
  void start_next_slice();
  void run_slice();
  void run_measured(const std::function<void()>& action);

  runtime& runtime_;
  duration slice_ = min_slice;
  duration used_{};  // of the current slice
  time_point last_slice_end_;
  std::deque<std::function<void()>> actions_;
  timer next_slice_;
};

}  // namespace gingerdrift::net
