#include "net/tcp_stream.hpp"

#include <memory>
#include <utility>

namespace gingerdrift::net {

namespace {

/// A pending uv_tcp_connect(). Must exist until libuv runs its callback.
struct connect_request {
  uv_connect_t request{};
  tcp_stream::connect_fn done;
};

/// A pending uv_write() and the bytes that it writes. Must exist until libuv runs its callback.
struct write_request {
  uv_write_t request{};
  std::string bytes;
};

/// Returns a buffer that refers to `bytes`, which must outlive its use. The const_cast is safe
/// because libuv only reads the buffers of writes.
uv_buf_t buffer_of(std::string_view bytes) {
  return uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
}

}  // namespace

tcp_stream::tcp_stream(uv_loop_t* loop, std::size_t read_buffer_bytes, observer& owner)
    : handle_(make_tcp_handle(loop)), owner_(owner), read_buffer_(read_buffer_bytes) {
  handle_->data = this;
}

void tcp_stream::disable_send_delay() { uv_tcp_nodelay(handle_.get(), 1); }

std::optional<uv_error> tcp_stream::connect(const sockaddr_in& server, connect_fn done) {
  // Guarded, as libuv runs the callback of a cancelled request after the stream is destroyed.
  auto* const pending = new connect_request{{}, guard_.wrap(std::move(done))};
  pending->request.data = pending;
  const int status =
      uv_tcp_connect(&pending->request, handle_.get(), reinterpret_cast<const sockaddr*>(&server),
                     [](uv_connect_t* request, int result) {
                       const std::unique_ptr<connect_request> finished(
                           static_cast<connect_request*>(request->data));
                       finished->done(error_of(result));
                     });
  if (status != 0) delete pending;
  return error_of(status);
}

std::optional<uv_error> tcp_stream::accept(tcp_listener& listener) {
  return error_of(uv_accept(listener.stream(), stream()));
}

void tcp_stream::start_reading() {
  uv_read_start(
      stream(),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
        auto& bytes = static_cast<tcp_stream*>(handle->data)->read_buffer_;
        *buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
      },
      [](uv_stream_t* handle, ssize_t count, const uv_buf_t*) {
        static_cast<tcp_stream*>(handle->data)->on_read(count);
      });
}

void tcp_stream::on_read(ssize_t count) {
  if (count == 0) return;  // libuv reports that no data is available (EAGAIN)
  if (count < 0) {
    owner_.on_end();
  } else {
    owner_.on_data({read_buffer_.data(), static_cast<std::size_t>(count)});
  }
}

std::optional<std::size_t> tcp_stream::try_write(std::string_view bytes) {
  const uv_buf_t buffer = buffer_of(bytes);
  const int result = uv_try_write(stream(), &buffer, 1);
  if (result == UV_EAGAIN) return 0;
  if (result < 0) return std::nullopt;
  return static_cast<std::size_t>(result);
}

void tcp_stream::queue_write(std::string bytes) {
  auto* const pending = new write_request{{}, std::move(bytes)};
  pending->request.data = pending;
  const uv_buf_t buffer = buffer_of(pending->bytes);
  const int status =
      uv_write(&pending->request, stream(), &buffer, 1,
               [](uv_write_t* request, int) { delete static_cast<write_request*>(request->data); });
  if (status != 0) delete pending;
}

void tcp_stream::shut_down() {
  auto* const pending = new uv_shutdown_t{};
  const int status =
      uv_shutdown(pending, stream(), [](uv_shutdown_t* request, int) { delete request; });
  if (status != 0) delete pending;
}

}  // namespace gingerdrift::net
