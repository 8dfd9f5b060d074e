#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/time.hpp"

namespace gingerdrift::net {

/// An HTTP request. Header fields are read and written by the transport and not exposed here.
struct request {
  std::string method;
  /// Path and query.
  std::string target;
  std::string body;
};

/// An HTTP response. Status 0 means that no valid response was received: the connection was refused
/// or lost, the deadline passed, or the response was malformed.
struct response {
  int status = 0;
  std::string body;
  /// Value of the Retry-After header field; absent if the response has none.
  std::optional<seconds> retry_after;
  /// Whether the server closes the connection after this response.
  bool close = false;
};

/// Receives the response to one request.
using reply_fn = std::function<void(response)>;
/// Handles a request. Must call the reply function exactly once, during the call or later. The
/// request is valid only during the call.
using handler_fn = std::function<void(const request&, reply_fn)>;
/// Identifies a timer of a runtime; never 0.
using timer_id = std::uint64_t;

/// Provides clocks, timers and outgoing HTTP calls. The daemon uses an implementation on libuv;
/// tests use one in virtual time. Must be used on a single thread, on which all actions and replies
/// also run.
class runtime {
 public:
  virtual ~runtime() = default;

  /// Returns the monotonic time, which timers and deadlines refer to.
  virtual time_point now() = 0;
  /// Returns the wall-clock time.
  virtual wall_time wall_now() = 0;
  /// Runs `action` after `delay`, never during this call.
  virtual timer_id after(duration delay, std::function<void()> action) = 0;
  /// Cancels a timer. Does nothing if its action has already run or the timer is unknown.
  virtual void cancel(timer_id id) = 0;
  /// Sends `message` to the server at `address`, such as "10.0.0.1:8080". `done` runs once, never
  /// during this call: with the response, or with status 0 on any failure or after `deadline`. It
  /// does not run if the runtime is destroyed first.
  virtual void call(const std::string& address, request message, duration deadline,
                    reply_fn done) = 0;
};

}  // namespace gingerdrift::net
