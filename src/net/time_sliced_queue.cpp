#include "net/time_sliced_queue.hpp"

#include <algorithm>
#include <utility>

namespace gingerdrift::net {

time_sliced_queue::time_sliced_queue(runtime& runtime)
    : runtime_(runtime), last_slice_end_(runtime.now()), next_slice_(runtime) {}

void time_sliced_queue::run(std::function<void()> action) {
  if (actions_.empty() && used_ < slice_) return run_measured(action);
  actions_.push_back(std::move(action));
  if (!next_slice_.armed()) start_next_slice();
}

void time_sliced_queue::start_next_slice() {
  last_slice_end_ = runtime_.now();
  next_slice_.start(duration::zero(), [this] { run_slice(); });
}

void time_sliced_queue::run_slice() {
  const duration other_work = runtime_.now() - last_slice_end_;
  slice_ = std::clamp(other_work, min_slice, max_slice);
  used_ = duration::zero();
  while (!actions_.empty() && used_ < slice_) {
    const auto action = std::move(actions_.front());
    actions_.pop_front();
    run_measured(action);
  }
  if (!actions_.empty()) start_next_slice();
}

void time_sliced_queue::run_measured(const std::function<void()>& action) {
  const time_point start = runtime_.now();
  action();
  used_ += runtime_.now() - start;
}

}  // namespace gingerdrift::net
