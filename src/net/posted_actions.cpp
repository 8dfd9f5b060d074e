#include "net/posted_actions.hpp"

#include <utility>

namespace gingerdrift::net {

posted_actions::posted_actions(uv_loop_t* loop)
    : wakeup_handle_(make_async_handle(loop, [](uv_async_t* handle) {
        static_cast<posted_actions*>(handle->data)->run_all();
      })) {
  wakeup_handle_->data = this;
}

void posted_actions::post(std::function<void()> action) {
  {
    const std::lock_guard lock(mutex_);
    actions_.push_back(std::move(action));
  }
  uv_async_send(wakeup_handle_.get());
}

void posted_actions::run_all() {
  std::vector<std::function<void()>> actions;
  {
    const std::lock_guard lock(mutex_);
    actions.swap(actions_);
  }
  for (auto& action : actions) action();
}

}  // namespace gingerdrift::net
