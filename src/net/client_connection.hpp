#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "net/message_parser.hpp"
#include "net/persistence.hpp"
#include "net/tcp_stream.hpp"
#include "net/transport.hpp"
#include "net/uv_error.hpp"

namespace gingerdrift::net {

/// Client side of a connection to an HTTP server. Carries one request at a time. The destructor
/// closes the connection. Must be used on the event loop's thread.
class client_connection final : private tcp_stream::observer {
 public:
  /// Receives the connection's events. Each of these functions may destroy the connection.
  class observer {
   public:
    /// Called with the response to the current request. `persistence` says whether the server keeps
    /// the connection open; if so, the connection can carry another request.
    virtual void on_response(client_connection& connection, response result,
                             connection_persistence persistence) = 0;
    /// Called when the connection has become unusable. A request that is still awaiting its
    /// response gets none.
    virtual void on_failure(client_connection& connection) = 0;

   protected:
    ~observer() = default;
  };

  /// Creates a connection to `address` that is not yet open; see connect(). `owner` receives its
  /// events and must outlive it. A response whose body exceeds `max_body_bytes` is reported
  /// by on_failure().
  client_connection(uv_loop_t* loop, std::string address, std::size_t max_body_bytes,
                    observer& owner);
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;

  const std::string& address() const { return address_; }
  /// Starts to connect to `server`, the parsed form of address(). Returns an error that occurs
  /// immediately; the owner is notified of a later one by on_failure().
  std::optional<uv_error> connect(const sockaddr_in& server);
  /// Sends a request once the connection is established. No earlier request may still be awaiting
  /// its response.
  void send(const request& message);

 private:
  void on_data(std::string_view bytes) override;
  void on_end() override;
  void on_connected();
  void write_outgoing();

  std::string address_;
  observer& owner_;
  response_parser parser_;
  std::string outgoing_;  // the current request, until it is written to the stream
  bool connected_ = false;
  bool awaits_response_ = false;
  tcp_stream stream_;
};

}  // namespace gingerdrift::net
