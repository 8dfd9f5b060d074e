#pragma once

#include <uv.h>

#include <chrono>

#include "base/time.hpp"

namespace gingerdrift::net {

/// Owns a libuv loop. All owners of a handle on the loop must be destroyed before it; the
/// destructor runs the loop until those handles have finished closing. Must be used on the thread
/// that runs the loop.
class event_loop {
 public:
  event_loop() { uv_loop_init(&loop_); }
  ~event_loop() {
    run();
    uv_loop_close(&loop_);
  }
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs until stop() is called or no active handles or requests are left.
  void run() { uv_run(&loop_, UV_RUN_DEFAULT); }
  /// Makes run() return after the current loop iteration.
  void stop() { uv_stop(&loop_); }
  /// Makes idle_time() available. Must be called before run().
  void measure_idle_time() { uv_loop_configure(&loop_, UV_METRICS_IDLE_TIME); }
  /// Returns for how long the loop has waited for events since its start.
  duration idle_time() const { return std::chrono::nanoseconds(uv_metrics_idle_time(&loop_)); }
  /// Returns the libuv loop, for the initialization of handles.
  uv_loop_t* get() { return &loop_; }

 private:
  mutable uv_loop_t loop_{};  // mutable, as uv_metrics_idle_time() locks a mutex in it
};

}  // namespace gingerdrift::net
