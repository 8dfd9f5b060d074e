#include "net/tcp_listener.hpp"

namespace gingerdrift::net {

tcp_listener::tcp_listener(uv_loop_t* loop, observer& owner) : handle_(make_tcp_handle(loop)) {
  handle_->data = &owner;
}

std::optional<uv_error> tcp_listener::listen(const sockaddr_in& address, std::size_t backlog) {
  const int bound = uv_tcp_bind(handle_.get(), reinterpret_cast<const sockaddr*>(&address), 0);
  if (const auto error = error_of(bound)) return error;
  return error_of(
      uv_listen(stream(), static_cast<int>(backlog), [](uv_stream_t* listener, int status) {
        if (status == 0) static_cast<observer*>(listener->data)->on_connection();
      }));
}

}  // namespace gingerdrift::net
