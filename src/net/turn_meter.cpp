#include "net/turn_meter.hpp"

#include <chrono>
#include <utility>

namespace gingerdrift::net {

turn_meter::turn_meter(event_loop& loop, turn_fn turn_finished)
    : loop_(loop),
      turn_finished_(std::move(turn_finished)),
      turn_end_(make_prepare_handle(
          loop.get(),
          [](uv_prepare_t* handle) { static_cast<turn_meter*>(handle->data)->finish_turn(); })),
      turn_start_(std::chrono::steady_clock::now()) {
  turn_end_->data = this;
  loop_.measure_idle_time();
  idle_before_ = loop_.idle_time();
}

void turn_meter::finish_turn() {
  const time_point now = std::chrono::steady_clock::now();
  const duration idle = loop_.idle_time();
  const duration busy = (now - turn_start_) - (idle - idle_before_);
  turn_start_ = now;
  idle_before_ = idle;
  turn_finished_(busy);
}

}  // namespace gingerdrift::net
