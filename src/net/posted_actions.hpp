#pragma once

#include <functional>
#include <mutex>
#include <vector>

#include "net/uv_handle.hpp"

namespace gingerdrift::net {

/// Queue of actions that other threads submit to an event loop. post() is thread-safe; everything
/// else must be used on the event loop's thread.
class posted_actions {
 public:
  explicit posted_actions(uv_loop_t* loop);
  posted_actions(const posted_actions&) = delete;
  posted_actions& operator=(const posted_actions&) = delete;

  /// Schedules `action` to run on the event loop's thread. Actions run in the order in which they
  /// were posted.
  void post(std::function<void()> action);

 private:
  void run_all();

  handle_ptr<uv_async_t> wakeup_handle_;
  std::mutex mutex_;  // protects actions_; never held together with another mutex
  std::vector<std::function<void()>> actions_;
};

}  // namespace gingerdrift::net
