#include "net/timer_queue.hpp"

#include <algorithm>
#include <utility>

namespace gingerdrift::net {

namespace {
/// Least time between two runs of due timers, in which the loop polls for I/O.
constexpr auto poll_interval = milliseconds(1);
}  // namespace

timer_queue::timer_queue(uv_loop_t* loop) : handle_(make_timer_handle(loop)) {
  handle_->data = this;
}

timer_id timer_queue::after(duration delay, std::function<void()> action) {
  const timer_id id = next_id_++;
  const auto added = schedule_.emplace(now() + delay, entry{.id = id, .action = std::move(action)});
  entries_.emplace(id, added);
  if (added == schedule_.begin() && !running_) arm_timer(duration::zero());
  return id;
}

void timer_queue::cancel(timer_id id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  // If this timer was the next one due, the libuv timer now fires too early. run_due() then finds
  // no due action and rearms it.
  schedule_.erase(found->second);
  entries_.erase(found);
}

void timer_queue::arm_timer(duration least_delay) {
  if (schedule_.empty()) return;
  const auto delay =
      std::chrono::ceil<milliseconds>(std::max(least_delay, schedule_.begin()->first - now()));
  // libuv measures delays from the start of the loop iteration, which may lie well in the past.
  uv_update_time(handle_->loop);
  uv_timer_start(
      handle_.get(), [](uv_timer_t* handle) { static_cast<timer_queue*>(handle->data)->run_due(); },
      static_cast<std::uint64_t>(delay.count()), 0);
}

void timer_queue::run_due() {
  running_ = true;
  const time_point started = now();
  while (!schedule_.empty() && schedule_.begin()->first <= started) {
    const auto due = schedule_.extract(schedule_.begin());
    entries_.erase(due.mapped().id);
    due.mapped().action();
  }
  running_ = false;
  // libuv runs a timer that is due at once before it polls. Without a delay, actions that always
  // schedule another one would keep the loop from its I/O.
  arm_timer(poll_interval);
}

}  // namespace gingerdrift::net
