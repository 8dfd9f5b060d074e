#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/client_connection.hpp"
#include "net/client_limits.hpp"

namespace gingerdrift::net {

/// Owns the connections of an HTTP client, and keeps those that are idle for later requests to the
/// same address. Belongs to the loop's thread.
class connection_pool {
 public:
  /// `owner` is told of the events of all connections, and must outlive the pool.
  connection_pool(uv_loop_t* loop, const client_limits& limits, client_connection::observer& owner);
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  /// Number of connections, idle or not.
  std::size_t size() const { return size_; }
  /// Number of connections to an address, idle or not.
  std::size_t size(const std::string& address) const;
  /// Whether all addresses together have as many connections as they may.
  bool full() const { return size_ >= limits_.connections_total; }
  /// Whether one more connection to the address may be opened.
  bool has_room(const std::string& address) const;
  bool has_idle(const std::string& address) const;

  /// Takes the connection that was used last out of the idle ones; null when there is none.
  client_connection* take_idle(const std::string& address);
  /// Adds a connection, which is not idle and still has to be connected.
  client_connection& open(const std::string& address);
  /// Makes a connection idle.
  void put_idle(client_connection& connection, time_point now);
  /// Destroys a connection.
  void close(client_connection& connection);
  /// Makes room for a connection to another address.
  void close_longest_idle();
  /// Closes what has been idle for too long. A machine that is gone without a word leaves its
  /// connection behind, and machines come and go for as long as this process runs.
  void close_expired(time_point now);

 private:
  /// A connection without a request, and since when.
  struct idle_connection {
    client_connection* connection = nullptr;
    time_point since;
  };
  /// All connections to one address.
  struct endpoint {
    std::vector<std::unique_ptr<client_connection>> connections;
    std::vector<idle_connection> idle;  // the one that was used last is last
  };

  uv_loop_t* loop_;
  client_limits limits_;
  client_connection::observer& owner_;
  std::unordered_map<std::string, endpoint> endpoints_;  // by address
  std::size_t size_ = 0;
};

}  // namespace gingerdrift::net
