#pragma once

#include <uv.h>

#include <memory>
#include <string>
#include <unordered_map>

#include "net/transport.hpp"
#include "net/uv_runtime.hpp"

namespace gingerdrift::net {

struct server_limits {
  std::size_t connections = 500;
  /// Connections that wait to be accepted; they hold sockets as well.
  std::size_t backlog = 64;
  std::size_t body_bytes = std::size_t{64} << 10;
  duration request_deadline = seconds(5);  // from the first byte to the whole request
  duration first_byte = seconds(10);       // a fresh connection must say something
  duration idle = seconds(75);             // between requests of a connection
  /// From this share of the connections on, each ends with its answer.
  double crowded = 15.0 / 16;
};

/// HTTP/1.1 server on the loop. Every connection has a deadline in every state, and the number of
/// connections is bounded: the longest idle one makes room, else the new one is closed. Before that
/// bound is reached, connections end with their answers: more workers than sockets then take turns,
/// and nobody is pushed out between a question and its answer, or loses a lease for want of a
/// socket.
class http_server {
 public:
  http_server(uv_runtime& runtime, server_limits limits, handler_fn handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Returns an empty string, or what went wrong.
  std::string listen(const std::string& address);
  std::size_t open() const { return connections_.size(); }

 private:
  struct connection;
  void accept();
  void received(connection* conn, std::size_t got);
  void handle(connection* conn);
  void answer(std::uint64_t id, const response& result);
  void write(connection* conn, const response& result);
  void close(connection* conn);
  void sweep();
  bool crowded() const;

  uv_runtime& runtime_;
  server_limits limits_;
  handler_fn handler_;
  uv_tcp_t* listener_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, connection*> connections_;
  timer_id sweeper_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::net
