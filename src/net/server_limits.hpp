#pragma once

#include <cstddef>

#include "base/time.hpp"

namespace gingerdrift::net {

/// Resource limits of an HTTP server, and timeouts for its clients.
struct server_limits {
  /// Maximum number of open connections.
  std::size_t connections = 500;
  /// Maximum number of connections that wait to be accepted. They also occupy sockets.
  std::size_t backlog = 64;
  /// Maximum size of the body of a request.
  std::size_t request_body_bytes = std::size_t{64} << 10;
  /// Maximum time from the first byte of a request to the last.
  duration request_timeout = seconds(5);
  /// Maximum time from the start of a connection to the first byte of its first request.
  duration first_byte_timeout = seconds(10);
  /// Maximum time from a response to the first byte of the next request.
  duration idle_timeout = seconds(75);
  /// While more than this share of `connections` is open, the server closes each connection after
  /// its response.
  double keep_alive_share = 15.0 / 16;
};

}  // namespace gingerdrift::net
