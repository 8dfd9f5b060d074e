#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/client_connection.hpp"
#include "net/client_limits.hpp"

namespace gingerdrift::net {

/// Owns the connections of an HTTP client, and keeps idle ones for later requests to the same
/// address. Must be used on the event loop's thread.
class connection_pool {
 public:
  /// `owner` receives the events of all connections and must outlive the pool.
  connection_pool(uv_loop_t* loop, const client_limits& limits, client_connection::observer& owner);
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  /// Returns the number of connections to all addresses, including idle ones.
  std::size_t size() const { return size_; }
  /// Returns the number of connections to `address`, including idle ones.
  std::size_t size(const std::string& address) const;
  /// Reports whether the limit of connections to all addresses together is reached.
  bool is_full() const { return size_ >= limits_.connections_total; }
  /// Reports whether the limits permit another connection to `address`.
  bool can_open(const std::string& address) const;
  /// Reports whether there is an idle connection to `address`.
  bool has_idle(const std::string& address) const;

  /// Returns the most recently used idle connection to `address` and no longer counts it as idle;
  /// null when there is none.
  client_connection* take_idle(const std::string& address);
  /// Adds a connection that is not idle. The caller must connect it.
  client_connection& open(const std::string& address);
  /// Marks a connection as idle since `now`.
  void put_idle(client_connection& connection, time_point now);
  /// Closes and destroys a connection, whether idle or not.
  void close(client_connection& connection);
  /// Closes the connection that has been idle for longest, so that one to another address can be
  /// opened. Does nothing if no connection is idle.
  void close_longest_idle();
  /// Closes connections that have been idle for longer than the idle timeout. A machine that
  /// disappears without closing its connection leaves it open here. Machines are replaced
  /// throughout the lifetime of this process, so such connections would accumulate.
  void close_expired(time_point now);

 private:
  /// A connection that carries no request, and the time at which it became idle.
  struct idle_connection {
    client_connection* connection = nullptr;
    time_point since;
  };
  /// All connections to one address.
  struct endpoint {
    std::vector<std::unique_ptr<client_connection>> connections;
    std::vector<idle_connection> idle;  // ordered by `since`, most recently used last
  };

  uv_loop_t* loop_;
  client_limits limits_;
  client_connection::observer& owner_;
  std::unordered_map<std::string, endpoint> endpoints_;  // by address
  std::size_t size_ = 0;
};

}  // namespace gingerdrift::net
