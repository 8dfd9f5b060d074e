#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

#include "job_store/terminal_state.hpp"

namespace gingerdrift::api {

/// A FIFO cache of the terminal states of jobs. Terminal states never change, so they are the only
/// states that may be cached. When the cache is full, the state that was inserted first is evicted.
class terminal_state_cache {
 public:
  /// `capacity`: maximum number of jobs in the cache.
  explicit terminal_state_cache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the terminal state of the job, or nothing if the job is not in the cache. A job that
  /// is not in the cache may still have ended.
  std::optional<job_store::terminal_state> find(const job_id& job) const {
    const auto position = states_.find(job);
    if (position == states_.end()) return std::nullopt;
    return position->second;
  }
  /// Does nothing if the job is already in the cache, because its terminal state never changes.
  void insert(const job_id& job, const job_store::terminal_state& state) {
    if (!states_.emplace(job, state).second) return;
    insertion_order_.push_back(job);
    if (insertion_order_.size() <= capacity_) return;
    states_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }

 private:
  std::size_t capacity_;
  std::list<job_id> insertion_order_;
  std::unordered_map<job_id, job_store::terminal_state> states_;
};

}  // namespace gingerdrift::api
