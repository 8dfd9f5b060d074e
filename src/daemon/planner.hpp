#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "admission/scheduler.hpp"

namespace gingerdrift::daemon {

using decide_fn = std::function<void(admission::decisions, duration took)>;

/// Runs scheduling passes. A new term starts with a new scheduler.
class planner {
 public:
  virtual ~planner() = default;
  virtual void plan(std::uint64_t term, admission::snapshot world, decide_fn done) = 0;
};

/// What both planners share: one scheduler per term.
class pass_runner {
 public:
  explicit pass_runner(const admission::policy& rules) : rules_(rules) {}
  admission::decisions run(std::uint64_t term, const admission::snapshot& world) {
    if (!scheduler_ || term != term_) scheduler_.emplace(rules_);
    term_ = term;
    return scheduler_->pass(world);
  }

 private:
  const admission::policy rules_;
  std::uint64_t term_ = 0;
  std::optional<admission::scheduler> scheduler_;
};

/// The scheduling thread. The mailbox holds one snapshot; its lock is never held during a pass.
class threaded_planner final : public planner {
 public:
  using post_fn = std::function<void(std::function<void()>)>;
  threaded_planner(const admission::policy& rules, post_fn post);
  ~threaded_planner() override;
  threaded_planner(const threaded_planner&) = delete;
  threaded_planner& operator=(const threaded_planner&) = delete;
  void plan(std::uint64_t term, admission::snapshot world, decide_fn done) override;

 private:
  struct job {
    std::uint64_t term;
    admission::snapshot world;
    decide_fn done;
  };
  void work();

  pass_runner runner_;  // the scheduling thread's alone
  post_fn post_;
  std::mutex lock_;  // guards next_ and ending_; no other lock is taken under it
  std::condition_variable wake_;
  std::optional<job> next_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace gingerdrift::daemon
