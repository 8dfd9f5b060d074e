#pragma once

#include <cstddef>

#include "base/time.hpp"

namespace gingerdrift::net {

/// Resource limits and timeouts of an HTTP client.
struct client_limits {
  /// Maximum number of connections to all addresses together, including idle ones.
  std::size_t connections_total = 300;
  /// Maximum number of connections to one address, including idle ones.
  std::size_t connections_per_address = 12;
  /// Maximum number of calls that wait for a connection to one address; further calls are refused.
  std::size_t queued_calls_per_address = 64;
  /// Maximum size of the body of a response.
  std::size_t response_body_bytes = std::size_t{4} << 20;
  /// A connection that has been idle for longer is closed.
  duration idle_timeout = seconds(30);
};

}  // namespace gingerdrift::net
