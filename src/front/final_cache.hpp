#pragma once

#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "store/job.hpp"

namespace gingerdrift::front {

/// Final states, which never change: the only answers that may be cached.
class final_cache {
 public:
  explicit final_cache(std::size_t most) : most_(most) {}

  std::optional<store::stored_end> find(const std::string& id) const {
    const auto found = states_.find(id);
    if (found == states_.end()) return std::nullopt;
    return found->second;
  }
  void insert(const std::string& id, const store::stored_end& end) {
    if (!states_.emplace(id, end).second) return;
    order_.push_back(id);
    if (order_.size() <= most_) return;
    states_.erase(order_.front());
    order_.pop_front();
  }

 private:
  std::size_t most_;
  std::list<std::string> order_;
  std::unordered_map<std::string, store::stored_end> states_;
};

}  // namespace gingerdrift::front
