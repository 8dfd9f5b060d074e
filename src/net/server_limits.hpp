#pragma once

#include <cstddef>

#include "base/time.hpp"

namespace gingerdrift::net {

/// Bounds of what an HTTP server holds at a time, and how long it waits for its clients.
struct server_limits {
  std::size_t connections = 500;
  /// Connections that wait to be accepted; they hold sockets as well.
  std::size_t backlog = 64;
  /// Of a request.
  std::size_t request_body_bytes = std::size_t{64} << 10;
  /// From the first byte of a request to the last.
  duration request_timeout = seconds(5);
  /// From the connection to the first byte.
  duration first_byte_timeout = seconds(10);
  /// From a response to the next request.
  duration idle_timeout = seconds(75);
  /// While more than this share of `connections` is open, each ends with its answer.
  double keep_alive_share = 15.0 / 16;
};

}  // namespace gingerdrift::net
