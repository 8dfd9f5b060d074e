#pragma once

#include <uv.h>

#include <memory>

namespace gingerdrift::net {

/// Closes a libuv handle. libuv still uses the memory until a later loop iteration, in which it is
/// freed. After the close, callbacks for the handle's own events no longer run, but callbacks of
/// pending requests still do.
template <typename handle>
struct handle_closer {
  void operator()(handle* owned) const {
    uv_close(reinterpret_cast<uv_handle_t*>(owned),
             [](uv_handle_t* closed) { delete reinterpret_cast<handle*>(closed); });
  }
};

/// Owns an initialized libuv handle. Must be used on the event loop's thread and destroyed before
/// the loop.
template <typename handle>
using handle_ptr = std::unique_ptr<handle, handle_closer<handle>>;

/// Creates a TCP handle without a socket.
inline handle_ptr<uv_tcp_t> make_tcp_handle(uv_loop_t* loop) {
  auto tcp = std::make_unique<uv_tcp_t>();
  uv_tcp_init(loop, tcp.get());
  return handle_ptr<uv_tcp_t>(tcp.release());
}

/// Creates a timer handle that is not started.
inline handle_ptr<uv_timer_t> make_timer_handle(uv_loop_t* loop) {
  auto timer = std::make_unique<uv_timer_t>();
  uv_timer_init(loop, timer.get());
  return handle_ptr<uv_timer_t>(timer.release());
}

/// Creates a handle by which other threads can wake the loop. `wake` then runs on the loop's
/// thread.
inline handle_ptr<uv_async_t> make_async_handle(uv_loop_t* loop, uv_async_cb wake) {
  auto async = std::make_unique<uv_async_t>();
  uv_async_init(loop, async.get(), wake);
  return handle_ptr<uv_async_t>(async.release());
}

/// Creates a handle that calls `checked` after each poll of the loop, until the handle is closed.
/// It does not keep the loop running.
inline handle_ptr<uv_check_t> make_check_handle(uv_loop_t* loop, uv_check_cb checked) {
  auto check = std::make_unique<uv_check_t>();
  uv_check_init(loop, check.get());
  uv_check_start(check.get(), checked);
  uv_unref(reinterpret_cast<uv_handle_t*>(check.get()));
  return handle_ptr<uv_check_t>(check.release());
}

/// Creates a handle that calls `prepared` before each poll of the loop, until the handle is closed.
/// It does not keep the loop running.
inline handle_ptr<uv_prepare_t> make_prepare_handle(uv_loop_t* loop, uv_prepare_cb prepared) {
  auto prepare = std::make_unique<uv_prepare_t>();
  uv_prepare_init(loop, prepare.get());
  uv_prepare_start(prepare.get(), prepared);
  uv_unref(reinterpret_cast<uv_handle_t*>(prepare.get()));
  return handle_ptr<uv_prepare_t>(prepare.release());
}

}  // namespace gingerdrift::net
