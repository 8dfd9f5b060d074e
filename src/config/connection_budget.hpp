#pragma once

#include <algorithm>
#include <cstddef>

namespace gingerdrift::config {

/// Division of the sockets that a controller may hold among its kinds of connections.
///
/// The sum of all parts stays below the limit even when a fleet has more machines than the
/// controller has sockets and every worker connects at once. Connections that wait to be accepted
/// therefore count too. Outgoing calls have a part of their own, because a leader without sockets
/// for them can neither renew its lease nor read its records.
struct connection_budget {
  std::size_t front;          // accepted connections from workers and users
  std::size_t front_backlog;  // connections from workers and users that wait to be accepted
  std::size_t calls;          // outgoing connections to the store, the cloud, workers and peers
  std::size_t peers;          // accepted connections from peers
  std::size_t peer_backlog;   // connections from peers that wait to be accepted

  /// Divides `limit` sockets.
  static connection_budget of(std::size_t limit) {
    constexpr std::size_t max_peer_connections = 64;
    constexpr std::size_t max_peer_backlog = 16;
    connection_budget budget{};
    budget.front = limit * 7 / 10;
    budget.front_backlog = limit * 2 / 25;
    budget.calls = limit * 3 / 20;
    budget.peers = std::min(max_peer_connections, limit / 25);
    budget.peer_backlog = std::min(max_peer_backlog, limit / 100);
    return budget;
  }
  /// Returns the sum of all parts, which is at most the limit.
  std::size_t total() const { return front + front_backlog + calls + peers + peer_backlog; }
};

}  // namespace gingerdrift::config
