#pragma once

#include <cstdint>

#include "base/time.hpp"

namespace gingerdrift {

/// Counts events of the last one to two periods, in constant memory.
class recent_count {
 public:
  explicit recent_count(duration period) : period_(period) {}
  void add(time_point now) {
    advance(now);
    ++current_;
  }
  std::uint64_t count(time_point now) {
    advance(now);
    return current_ + last_;
  }

 private:
  void advance(time_point now) {
    if (now - begun_ < period_) return;
    last_ = now - begun_ < period_ * 2 ? current_ : 0;
    current_ = 0;
    begun_ = now;
  }
  duration period_;
  time_point begun_{};
  std::uint64_t current_ = 0;
  std::uint64_t last_ = 0;
};

}  // namespace gingerdrift
