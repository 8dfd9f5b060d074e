#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "store/stored_end.hpp"

namespace gingerdrift::store {

/// Users who asked to cancel a job and wait until its end is stored. Each is answered once: with
/// the end, or with nothing where it can't be said.
class end_waiters {
 public:
  using end_fn = std::function<void(std::optional<stored_end>)>;

  end_waiters() = default;
  ~end_waiters() {
    for (auto& [job, waiting] : waiting_) {
      for (auto& answer : waiting) answer(std::nullopt);
    }
  }
  end_waiters(const end_waiters&) = delete;
  end_waiters& operator=(const end_waiters&) = delete;

  void add(const std::string& job, end_fn answer) { waiting_[job].push_back(std::move(answer)); }
  void answer(const std::string& job, const std::optional<stored_end>& end) {
    const auto found = waiting_.find(job);
    if (found == waiting_.end()) return;
    const auto waiting = std::move(found->second);
    waiting_.erase(found);
    for (const auto& answer : waiting) answer(end);
  }

 private:
  std::unordered_map<std::string, std::vector<end_fn>> waiting_;
};

}  // namespace gingerdrift::store
