#include "daemon/planner.hpp"

namespace gingerdrift::daemon {

threaded_planner::threaded_planner(const admission::policy& rules, post_fn post)
    : runner_(rules), post_(std::move(post)), thread_([this] { work(); }) {}

threaded_planner::~threaded_planner() {
  {
    const std::lock_guard hold(lock_);
    ending_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void threaded_planner::plan(std::uint64_t term, admission::snapshot world, decide_fn done) {
  {
    const std::lock_guard hold(lock_);
    next_ = job{term, std::move(world), std::move(done)};
  }
  wake_.notify_one();
}

void threaded_planner::work() {
  for (;;) {
    std::optional<job> mine;
    {
      std::unique_lock hold(lock_);
      wake_.wait(hold, [this] { return ending_ || next_.has_value(); });
      if (ending_) return;
      mine.swap(next_);
    }
    const auto begun = std::chrono::steady_clock::now();
    auto result = runner_.run(mine->term, mine->world);
    const auto took = std::chrono::steady_clock::now() - begun;
    post_([done = std::move(mine->done), result = std::move(result), took]() mutable {
      done(std::move(result), took);
    });
  }
}

}  // namespace gingerdrift::daemon
