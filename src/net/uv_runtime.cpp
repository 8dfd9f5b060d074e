#include "net/uv_runtime.hpp"

#include <chrono>
#include <utility>

namespace gingerdrift::net {

uv_runtime::uv_runtime(const client_limits& limits)
    : timers_(loop_.get()), posted_actions_(loop_.get()), client_(loop_.get(), timers_, limits) {}

time_point uv_runtime::now() { return timer_queue::now(); }

wall_time uv_runtime::wall_now() { return std::chrono::system_clock::now(); }

timer_id uv_runtime::after(duration delay, std::function<void()> action) {
  return timers_.after(delay, std::move(action));
}

void uv_runtime::cancel(timer_id id) { timers_.cancel(id); }

void uv_runtime::call(const std::string& address, request message, duration deadline,
                      reply_fn done) {
  client_.call(address, std::move(message), deadline, std::move(done));
}

void uv_runtime::post(std::function<void()> action) { posted_actions_.post(std::move(action)); }

void uv_runtime::observe_turns(turn_meter::turn_fn turn_finished) {
  turn_meter_ = std::make_unique<turn_meter>(loop_, std::move(turn_finished));
}

void uv_runtime::run() { loop_.run(); }

void uv_runtime::stop() { loop_.stop(); }

}  // namespace gingerdrift::net
