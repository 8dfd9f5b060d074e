#pragma once

#include <cstdint>

#include "base/time.hpp"

namespace gingerdrift {

/// Counts recent events in constant memory. The count covers the current period and the one before,
/// that is between one and two periods of time. Must be used on a single thread.
class recent_count {
 public:
  explicit recent_count(duration period) : period_(period) {}
  /// Records an event.
  void add(time_point now) {
    advance(now);
    ++current_;
  }
  /// Returns the number of events in the current period and the one before.
  std::uint64_t count(time_point now) {
    advance(now);
    return current_ + previous_;
  }

 private:
  void advance(time_point now) {
    if (now - period_start_ < period_) return;
    previous_ = now - period_start_ < period_ * 2 ? current_ : 0;
    current_ = 0;
    period_start_ = now;
  }
  duration period_;
  time_point period_start_{};
  std::uint64_t current_ = 0;
  std::uint64_t previous_ = 0;
};

}  // namespace gingerdrift
