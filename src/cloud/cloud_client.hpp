#pragma once

#include <functional>
#include <string>

#include "base/callback_guard.hpp"
#include "base/token_bucket.hpp"
#include "net/transport.hpp"

namespace gingerdrift::cloud {

/// Calls the cloud's HTTP API. Enforces a rate limit and pauses all calls after a failure.
///
/// Responses that arrive after the client has been destroyed are dropped.
class cloud_client {
 public:
  using response_handler = std::function<void(const net::response&)>;

  /// `rate_limit` is the number of calls per second that the cloud allows. `is_permitted` reports
  /// whether this controller may call the cloud at all; a leader without a valid lease may not.
  cloud_client(net::runtime& runtime, std::string address, double rate_limit,
               std::function<bool()> is_permitted);

  /// Takes one call from the rate budget and returns true, or returns false if no call may be sent
  /// now. Must be invoked before each call().
  bool try_acquire();
  /// Sends a request. `on_response` receives status 0 if no response arrives within the deadline.
  void call(net::request request, response_handler on_response);
  /// Suspends calls for `failure_pause`, after the cloud has rejected a call or has not answered.
  void pause_after_failure();
  /// Calls per second that the rate budget allows.
  double call_rate() const { return budget_.rate(); }
  /// Current time of the runtime's monotonic clock.
  time_point now() const { return runtime_.now(); }

 private:
  net::runtime& runtime_;
  std::string address_;
  std::function<bool()> is_permitted_;
  token_bucket budget_;
  time_point paused_until_{};
  callback_guard guard_;
};

/// How long no calls are sent after a failure.
constexpr auto failure_pause = seconds(2);

}  // namespace gingerdrift::cloud
