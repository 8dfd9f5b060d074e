#pragma once

#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.hpp"
#include "job_store/terminal_state.hpp"

namespace gingerdrift::job_store {

/// Callbacks of users who cancelled a job and wait until its terminal state is stored.
///
/// Each callback is called exactly once: with the terminal state, or with nothing if it can't be
/// determined, for example when this object is destroyed.
class completion_waiters {
 public:
  using terminal_fn = std::function<void(std::optional<terminal_state>)>;

  completion_waiters() = default;
  ~completion_waiters() {
    for (const auto& [job, callbacks] : waiting_) {
      for (const auto& callback : callbacks) callback(std::nullopt);
    }
  }
  completion_waiters(const completion_waiters&) = delete;
  completion_waiters& operator=(const completion_waiters&) = delete;

  void add(const job_id& job, terminal_fn callback) {
    waiting_[job].push_back(std::move(callback));
  }
  /// Removes and calls all callbacks for the job.
  void notify(const job_id& job, const std::optional<terminal_state>& end) {
    const auto waiting = waiting_.find(job);
    if (waiting == waiting_.end()) return;
    // The callbacks are removed from the map before they are called because a callback may add
    // another one.
    const auto callbacks = std::move(waiting->second);
    waiting_.erase(waiting);
    for (const auto& callback : callbacks) callback(end);
  }

 private:
  std::unordered_map<job_id, std::vector<terminal_fn>> waiting_;
};

}  // namespace gingerdrift::job_store
