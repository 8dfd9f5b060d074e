#include "leader/scheduling_executor.hpp"

#include <utility>

namespace gingerdrift::leader {

threaded_scheduling_executor::threaded_scheduling_executor(const admission::policy& policy,
                                                           post_fn post)
    : runner_(policy), post_(std::move(post)), thread_([this] { run_thread(); }) {}

threaded_scheduling_executor::~threaded_scheduling_executor() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_up_.notify_one();
  thread_.join();
}

void threaded_scheduling_executor::run_cycle(fencing_token term, admission::snapshot snapshot,
                                             decisions_fn done) {
  {
    const std::lock_guard lock(mutex_);
    pending_request_ = request{term, std::move(snapshot), std::move(done)};
  }
  wake_up_.notify_one();
}

void threaded_scheduling_executor::run_thread() {
  while (auto next = wait_for_request()) compute(std::move(*next));
}

/// Blocks until a request is pending and returns it, or returns nothing once the executor is being
/// destroyed.
std::optional<threaded_scheduling_executor::request>
threaded_scheduling_executor::wait_for_request() {
  std::unique_lock lock(mutex_);
  wake_up_.wait(lock, [this] { return stopping_ || pending_request_.has_value(); });
  if (stopping_) return std::nullopt;
  return std::exchange(pending_request_, std::nullopt);
}

void threaded_scheduling_executor::compute(request next) {
  const auto start = std::chrono::steady_clock::now();
  auto decisions = runner_.run(next.term, next.snapshot);
  const auto computing_time = std::chrono::steady_clock::now() - start;
  post_([done = std::move(next.done), decisions = std::move(decisions), computing_time]() mutable {
    done(std::move(decisions), computing_time);
  });
}

}  // namespace gingerdrift::leader
