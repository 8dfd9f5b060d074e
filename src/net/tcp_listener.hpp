#pragma once

#include <netinet/in.h>

#include <optional>

#include "net/uv_error.hpp"
#include "net/uv_handle.hpp"

namespace gingerdrift::net {

/// A listening TCP socket. Must be used on the event loop's thread.
class tcp_listener {
 public:
  /// Is notified of connections that wait to be accepted.
  class observer {
   public:
    /// Called when a connection waits; the observer must call tcp_stream::accept().
    virtual void on_connection() = 0;

   protected:
    ~observer() = default;
  };

  /// Creates a listener that does not listen yet. `owner` must outlive it.
  tcp_listener(uv_loop_t* loop, observer& owner);
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  /// Listens on `address`. At most `backlog` connections wait to be accepted. Returns nullopt on
  /// success.
  std::optional<uv_error> listen(const sockaddr_in& address, std::size_t backlog);
  /// Returns the libuv stream, for uv_accept().
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(handle_.get()); }

 private:
  handle_ptr<uv_tcp_t> handle_;
};

}  // namespace gingerdrift::net
