#pragma once

#include <algorithm>

#include "base/time.hpp"

namespace gingerdrift {

/// Token bucket whose capacity is the number of tokens that one second adds, but at least one
/// token. Refilling starts with the first call. Must be used on a single thread.
class token_bucket {
 public:
  explicit token_bucket(double per_second) : rate_(per_second), tokens_(per_second) {}
  /// Takes `amount` tokens if that many are available; otherwise takes none and returns false.
  bool try_take(time_point now, double amount = 1) {
    refill(now);
    if (tokens_ < amount) return false;
    tokens_ -= amount;
    return true;
  }
  /// Takes `amount` tokens even if fewer are available. The balance then becomes negative, so that
  /// later requests wait longer.
  void spend(time_point now, double amount) {
    refill(now);
    tokens_ -= amount;
  }
  /// Returns the number of available tokens, which is negative after spend() took more than there
  /// were.
  double available(time_point now) {
    refill(now);
    return tokens_;
  }
  /// Returns the number of tokens added per second.
  double rate() const { return rate_; }
  /// Changes the rate. Available tokens are kept up to the capacity at the new rate.
  void set_rate(time_point now, double per_second) {
    refill(now);
    rate_ = per_second;
    tokens_ = std::min(tokens_, std::max(rate_, 1.0));
  }
  /// Sets the number of available tokens to 0. Used after a response with status 429, which
  /// indicates that other clients share the limit.
  void drain(time_point now) {
    refill(now);
    tokens_ = 0;
  }

 private:
  void refill(time_point now) {
    if (last_refill_ == time_point{}) last_refill_ = now;
    tokens_ = std::min(std::max(rate_, 1.0), tokens_ + rate_ * to_seconds(now - last_refill_));
    last_refill_ = now;
  }
  double rate_;
  double tokens_;
  time_point last_refill_{};
};

}  // namespace gingerdrift
