#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "net/client_connection.hpp"
#include "net/client_limits.hpp"
#include "net/connection_pool.hpp"
#include "net/timer_queue.hpp"
#include "net/transport.hpp"

namespace gingerdrift::net {

/// Calls HTTP servers over persistent connections, each of which carries one call at a time. Once
/// no further connection to an address can be opened, calls to it wait in a bounded queue; calls
/// beyond that bound are refused. Must be used on the event loop's thread.
class http_client final : private client_connection::observer {
 public:
  /// `timers` must outlive the client, and must not run any action once the client is destroyed.
  http_client(uv_loop_t* loop, timer_queue& timers, const client_limits& limits);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request as described at runtime::call(). Calls that are still pending when the client
  /// is destroyed get no reply.
  void call(const std::string& address, request message, duration deadline, reply_fn done);
  /// Returns the number of connections, including idle ones.
  std::size_t open_connections() const { return pool_.size(); }

 private:
  using call_id = std::uint64_t;
  /// A call that has no reply yet, either queued or sent.
  struct pending_call {
    call_id id;
    request message;
    reply_fn done;
    timer_id deadline_timer;
  };

  void on_response(client_connection& connection, response result,
                   connection_persistence persistence) override;
  void on_failure(client_connection& connection) override;

  void dispatch(const std::string& address, pending_call call);
  void open_connection(const std::string& address, const sockaddr_in& server, pending_call call);
  void send_call(client_connection& connection, pending_call call);
  void queue_or_refuse(const std::string& address, pending_call call);
  void refuse(pending_call call);
  void finish_call(client_connection& connection, response result,
                   connection_persistence persistence);
  void fail_call(const std::string& address, call_id id);
  void fail_queued_call(const std::string& address, call_id id);
  void start_next_queued(const std::string& address);
  void close_expired();

  timer_queue& timers_;
  client_limits limits_;
  call_id next_id_ = 1;
  std::unordered_map<std::string, std::deque<pending_call>> queues_;  // by address
  connection_pool pool_;
  // The call that each busy connection carries.
  std::unordered_map<client_connection*, pending_call> active_;
};

}  // namespace gingerdrift::net
