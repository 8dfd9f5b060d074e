#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "admission/scheduler.hpp"

namespace gingerdrift::leader {

/// Receives the decisions of a cycle and the time that it took to compute them.
using decisions_fn = std::function<void(admission::decisions, duration computing_time)>;

/// Computes scheduling cycles. Each term of leadership starts with a new scheduler.
class scheduling_executor {
 public:
  virtual ~scheduling_executor() = default;
  /// Computes one cycle and calls `done` once, asynchronously, on the event loop's thread. A term
  /// must wait for this call before it requests its next cycle. A new term need not wait for the
  /// cycle of an earlier one.
  virtual void run_cycle(fencing_token term, admission::snapshot snapshot, decisions_fn done) = 0;
};

/// Runs scheduling cycles with one scheduler per term. Used by all executors.
class cycle_runner {
 public:
  explicit cycle_runner(const admission::policy& policy) : policy_(policy) {}
  admission::decisions run(fencing_token term, const admission::snapshot& snapshot) {
    if (!scheduler_ || term != term_) scheduler_.emplace(policy_);
    term_ = term;
    return scheduler_->run_cycle(snapshot);
  }

 private:
  const admission::policy policy_;
  fencing_token term_;
  std::optional<admission::scheduler> scheduler_;
};

/// Computes scheduling cycles on a dedicated thread. At most one request is pending; a newer
/// request replaces it. The mutex is not held while a cycle is computed.
class threaded_scheduling_executor final : public scheduling_executor {
 public:
  /// Runs an action on the event loop's thread.
  using post_fn = std::function<void(std::function<void()>)>;
  threaded_scheduling_executor(const admission::policy& policy, post_fn post);
  /// Waits for the cycle in progress, whose decisions are still posted. A pending request is
  /// dropped.
  ~threaded_scheduling_executor() override;
  threaded_scheduling_executor(const threaded_scheduling_executor&) = delete;
  threaded_scheduling_executor& operator=(const threaded_scheduling_executor&) = delete;
  void run_cycle(fencing_token term, admission::snapshot snapshot, decisions_fn done) override;

 private:
  /// A scheduling cycle to compute.
  struct request {
    fencing_token term;
    admission::snapshot snapshot;
    decisions_fn done;
  };
  void run_thread();
  std::optional<request> wait_for_request();
  void compute(request next);

  cycle_runner runner_;  // used by the scheduling thread only
  post_fn post_;
  /// Guards pending_request_ and stopping_. No other mutex is locked while it is held.
  std::mutex mutex_;
  std::condition_variable wake_up_;
  std::optional<request> pending_request_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace gingerdrift::leader
