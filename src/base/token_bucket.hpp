#pragma once

#include <algorithm>

#include "base/time.hpp"

namespace gingerdrift {

/// Token bucket that holds at most one second's worth, and at least room for one token. Its clock
/// starts with the first call. To be used on one thread.
class token_bucket {
 public:
  explicit token_bucket(double per_second) : rate_(per_second), tokens_(per_second) {}
  /// Takes that many tokens, or none and returns false if there are fewer.
  bool try_take(time_point now, double amount = 1) {
    refill(now);
    if (tokens_ < amount) return false;
    tokens_ -= amount;
    return true;
  }
  /// Takes that many tokens even where there are fewer: what follows waits longer.
  void spend(time_point now, double amount) {
    refill(now);
    tokens_ -= amount;
  }
  /// Tokens that may be taken now; negative after more were spent than there were.
  double available(time_point now) {
    refill(now);
    return tokens_;
  }
  /// Tokens per second.
  double rate() const { return rate_; }
  /// Keeps what was saved up, as far as the new rate allows.
  void set_rate(time_point now, double per_second) {
    refill(now);
    rate_ = per_second;
    tokens_ = std::min(tokens_, std::max(rate_, 1.0));
  }
  /// Takes all tokens: a 429 says that others share the limit.
  void drain(time_point now) {
    refill(now);
    tokens_ = 0;
  }

 private:
  void refill(time_point now) {
    if (refilled_at_ == time_point{}) refilled_at_ = now;
    tokens_ = std::min(std::max(rate_, 1.0), tokens_ + rate_ * to_seconds(now - refilled_at_));
    refilled_at_ = now;
  }
  double rate_;
  double tokens_;
  time_point refilled_at_{};
};

}  // namespace gingerdrift
