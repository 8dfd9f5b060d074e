#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/callback_guard.hpp"
#include "net/server_connection.hpp"
#include "net/server_limits.hpp"
#include "net/tcp_listener.hpp"
#include "net/timer.hpp"
#include "net/transport.hpp"
#include "net/uv_error.hpp"
#include "net/uv_handle.hpp"
#include "net/uv_runtime.hpp"

namespace gingerdrift::net {

/// The reason why a server cannot listen on an address.
struct listen_error {
  std::string address;
  /// The error of the system call; absent when `address` could not be parsed.
  std::optional<uv_error> cause;

  /// Returns a description for the operator.
  std::string message() const;
};

/// Connections of a server, counted since its start.
struct server_statistics {
  std::size_t open = 0;      // now, including idle ones
  std::size_t open_max = 0;  // at most at any time
  std::uint64_t accepted = 0;
  std::uint64_t refused_at_limit = 0;   // closed at once, as no idle connection could be closed
  std::uint64_t closed_for_others = 0;  // idle ones that were closed for a new one
  std::uint64_t closed_near_limit = 0;  // closed after a response near the connection limit
};

/// HTTP/1.1 server on the event loop. Every connection has a deadline in every state, except while
/// the handler processes its request; the handler replies within a deadline of its own.
///
/// The number of connections is limited. At the limit, a new connection replaces the one that has
/// been idle for longest, or is closed if none is idle. A connection counts as idle only once the
/// event loop has polled it without receiving a request: when the loop runs late, requests of
/// connections that seem idle wait unread. Near the limit, the server closes each
/// connection after its response. Workers can then share fewer sockets than there are workers: no
/// client is disconnected between its request and the response, and no worker loses its lease
/// because it cannot get a connection.
///
/// Must be used on the event loop's thread.
class http_server final : private tcp_listener::observer, private server_connection::observer {
 public:
  /// Calls `handler` for each request. A reply is dropped if the server has been destroyed or the
  /// request's connection has been closed by then.
  http_server(uv_runtime& runtime, const server_limits& limits, handler_fn handler);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Listens on an address such as "10.0.0.1:8080". Returns nullopt on success.
  std::optional<listen_error> listen(const std::string& address);
  /// Returns the number of open connections, including idle ones.
  std::size_t open_connections() const { return connections_.size(); }
  /// Returns the counts of connections.
  server_statistics statistics() const;

 private:
  void on_connection() override;
  void on_request(server_connection& connection, const request& message) override;
  void on_end(server_connection& connection) override;

  void send_response(server_connection::id_type id, const response& result);
  bool is_full() const { return connections_.size() >= limits_.connections; }
  bool is_near_connection_limit() const;
  void accept_connection();
  /// Runs after each poll of the event loop, when all requests that had arrived have been read.
  void after_poll();
  /// Closes the connection that has been idle for longest. Returns false if none is known to be
  /// idle.
  bool close_longest_idle();
  /// Reports whether any connection has not been polled since it was accepted.
  bool has_unpolled_connection() const { return last_accepting_poll_ == poll_count_; }
  void close_overdue();

  uv_runtime& runtime_;
  server_limits limits_;
  handler_fn handler_;
  tcp_listener listener_;
  server_statistics counts_;  // without `open`
  server_connection::id_type next_id_ = 1;
  std::unordered_map<server_connection::id_type, std::unique_ptr<server_connection>> connections_;
  handle_ptr<uv_check_t> poll_check_;
  std::uint64_t poll_count_ = 0;           // polls of the event loop that have ended
  std::uint64_t last_accepting_poll_ = 0;  // the poll in which a connection was last accepted
  bool connection_waits_ = false;          // at the limit; the listener accepts no others meanwhile
  timer overdue_check_timer_;
  timer next_poll_timer_;
  callback_guard guard_;
};

}  // namespace gingerdrift::net
