#pragma once

#include <functional>
#include <string>

#include "base/callback_guard.hpp"
#include "base/token_bucket.hpp"
#include "net/transport.hpp"

namespace gingerdrift::cloud {

/// Calls the cloud's interface, within its rate limit and with a pause after failures.
///
/// Replies that come after the client is destroyed are dropped.
class cloud_client {
 public:
  using reply_handler = std::function<void(const net::response&)>;

  /// `rate_limit`: calls a second that the cloud allows. `permitted`: whether this controller may
  /// call it at all; a leader without a valid lease may not.
  cloud_client(net::runtime& runtime, std::string address, double rate_limit,
               std::function<bool()> permitted);

  /// Takes one call from the budget. To be asked before each call; false: not now.
  bool try_acquire();
  /// Sends a request. The reply's status is 0 if none came within the deadline.
  void call(net::request message, reply_handler done);
  /// The cloud refused a call or did not answer: nothing is sent for a moment.
  void pause_after_failure();
  /// Calls a second that the budget allows.
  double call_rate() const { return budget_.rate(); }
  /// The runtime's clock.
  time_point now() const { return runtime_.now(); }

 private:
  net::runtime& runtime_;
  std::string address_;
  std::function<bool()> permitted_;
  token_bucket budget_;
  time_point paused_until_{};
  callback_guard guard_;
};

/// How long calls rest after a failure.
constexpr auto failure_pause = seconds(2);

}  // namespace gingerdrift::cloud
