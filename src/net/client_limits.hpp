#pragma once

#include <cstddef>

#include "base/time.hpp"

namespace gingerdrift::net {

/// Bounds of what an HTTP client holds at a time.
struct client_limits {
  /// Connections, idle ones included, to all addresses together.
  std::size_t connections_total = 300;
  std::size_t open_per_address = 12;
  /// Calls that wait for a connection to their address; more are refused.
  std::size_t queued_per_address = 64;
  /// Of a response.
  std::size_t response_body_bytes = std::size_t{4} << 20;
  /// A connection that is unused for longer is closed.
  duration idle_timeout = seconds(30);
};

}  // namespace gingerdrift::net
