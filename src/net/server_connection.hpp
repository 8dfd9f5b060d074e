#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/message_parser.hpp"
#include "net/persistence.hpp"
#include "net/server_limits.hpp"
#include "net/tcp_listener.hpp"
#include "net/tcp_stream.hpp"
#include "net/transport.hpp"
#include "net/uv_error.hpp"
#include "net/uv_runtime.hpp"

namespace gingerdrift::net {

/// Server side of an HTTP connection. Reads a request, writes its response, and then reads the next
/// request. The destructor closes the connection. Must be used on the event loop's thread.
class server_connection final : private tcp_stream::observer {
 public:
  /// Identifies a connection among those of its server.
  using id_type = std::uint64_t;

  /// Receives the connection's events. Each of these functions may destroy the connection.
  class observer {
   public:
    /// Called with a request, which must be answered by send_response(), during this call or later.
    /// `message` is valid only during the call.
    virtual void on_request(server_connection& connection, const request& message) = 0;
    /// Called when the client has closed the connection, the connection has failed, or the client
    /// has sent too many bytes ahead of a response.
    virtual void on_end(server_connection& connection) = 0;

   protected:
    ~observer() = default;
  };

  /// Creates a connection that is not yet accepted; see accept(). `runtime`, `limits` and `owner`
  /// must outlive it. `owner` receives its events. `accepted_in_poll`: the number of the event
  /// loop's poll in which it is accepted.
  server_connection(id_type id, uv_runtime& runtime, const server_limits& limits,
                    std::uint64_t accepted_in_poll, observer& owner);
  server_connection(const server_connection&) = delete;
  server_connection& operator=(const server_connection&) = delete;

  id_type id() const { return id_; }
  /// Returns the number of the poll in which the connection was accepted. Until the next poll,
  /// nothing that it received has been read.
  std::uint64_t accepted_in_poll() const { return accepted_in_poll_; }
  /// Accepts a pending connection of `listener`.
  std::optional<uv_error> accept(tcp_listener& listener);
  /// Starts to read requests.
  void start();
  /// Reports whether the owner has been given a request that it has not yet answered.
  bool awaits_response() const { return state_ == state::handling; }
  /// Sends the response to the request that the owner was given. Afterwards the connection is
  /// closed if `persistence`, the client or `result` says so. May call the owner with the next
  /// request or with the end of the connection.
  void send_response(const response& result, connection_persistence persistence);
  /// Returns the time at which the connection started to wait for the first byte of a request;
  /// nullopt while a request is being read or handled.
  std::optional<time_point> idle_since() const;
  /// Reports whether the client has missed the deadline of the current state.
  bool is_overdue(time_point now) const;

 private:
  /// What the connection waits for. Every state except `handling` has a deadline.
  enum class state { awaiting_first_byte, idle, reading, handling };

  void on_data(std::string_view bytes) override;
  void on_end() override;
  void enter_state(state next);
  void buffer_pipelined_bytes(std::string_view bytes);
  void read_request(std::string_view bytes);
  void dispatch_request();
  void reject_request(std::string body);
  /// Writes now or queues `bytes`. Returns false if the connection is broken.
  [[nodiscard]] bool write(const std::string& bytes);
  void close_after_writing();

  id_type id_;
  std::uint64_t accepted_in_poll_;
  uv_runtime& runtime_;
  const server_limits& limits_;
  observer& owner_;
  state state_ = state::awaiting_first_byte;
  time_point state_since_;
  request_parser parser_;
  // Bytes that arrived after the current request and before its response was sent.
  std::string pipelined_bytes_;
  tcp_stream stream_;
};

}  // namespace gingerdrift::net
