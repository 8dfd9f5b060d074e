#pragma once

#include <netinet/in.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/callback_guard.hpp"
#include "net/tcp_listener.hpp"
#include "net/uv_error.hpp"
#include "net/uv_handle.hpp"

namespace gingerdrift::net {

/// A TCP connection. The destructor closes the socket and discards queued writes; no callback runs
/// after it. Must be used on the event loop's thread.
class tcp_stream {
 public:
  /// Receives what is read. Each of these functions may destroy the stream.
  class observer {
   public:
    /// Called with received bytes, which are valid until the stream is destroyed or reads again.
    virtual void on_data(std::string_view bytes) = 0;
    /// Called when the peer has closed the connection or the connection has failed.
    virtual void on_end() = 0;

   protected:
    ~observer() = default;
  };
  /// Receives the outcome of connect(): nullopt once the connection is established.
  using connect_fn = std::function<void(std::optional<uv_error>)>;

  /// Creates a stream that is not connected yet. Each read returns at most `read_buffer_bytes`.
  /// `owner` must outlive the stream.
  tcp_stream(uv_loop_t* loop, std::size_t read_buffer_bytes, observer& owner);
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// Disables the delay of small packets by Nagle's algorithm (TCP_NODELAY).
  void disable_send_delay();
  /// Starts to connect to `server`. Returns an error that occurs immediately; `done` then never
  /// runs. `done` may destroy the stream.
  std::optional<uv_error> connect(const sockaddr_in& server, connect_fn done);
  /// Accepts a pending connection of `listener`.
  std::optional<uv_error> accept(tcp_listener& listener);
  /// Starts to pass all received bytes to the owner.
  void start_reading();
  /// Writes as much as the socket accepts without blocking. Returns the number of bytes written,
  /// which is 0 if the socket would block; nullopt if the connection is broken.
  std::optional<std::size_t> try_write(std::string_view bytes);
  /// Writes `bytes` once the socket is ready. A failure is reported only as the end of the stream,
  /// and not always.
  void queue_write(std::string bytes);
  /// Shuts down the sending direction once all queued writes have completed.
  void shut_down();

 private:
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(handle_.get()); }
  void on_read(ssize_t count);

  handle_ptr<uv_tcp_t> handle_;
  observer& owner_;
  std::vector<char> read_buffer_;
  callback_guard guard_;
};

}  // namespace gingerdrift::net
