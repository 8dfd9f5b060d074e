#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace gingerdrift {

/// A set of task numbers kept as closed ranges, so that 100,000 finished tasks stay small.
class range_set {
 public:
  bool contains(std::uint32_t value) const {
    auto it = ranges_.upper_bound(value);
    if (it == ranges_.begin()) return false;
    --it;
    return value <= it->second;
  }
  bool insert(std::uint32_t value) {
    if (contains(value)) return false;
    std::uint32_t first = value;
    std::uint32_t last = value;
    auto next = ranges_.upper_bound(value);
    if (next != ranges_.begin()) {
      auto before = std::prev(next);
      if (before->second + 1 == value) {
        first = before->first;
        ranges_.erase(before);
      }
    }
    if (next != ranges_.end() && value + 1 == next->first) {
      last = next->second;
      ranges_.erase(next);
    }
    ranges_[first] = last;
    ++count_;
    return true;
  }
  void insert_range(std::uint32_t first, std::uint32_t last) {
    for (std::uint32_t value = first; value <= last; ++value) insert(value);
  }
  std::uint32_t count() const { return count_; }
  const std::map<std::uint32_t, std::uint32_t>& ranges() const { return ranges_; }

 private:
  std::map<std::uint32_t, std::uint32_t> ranges_;
  std::uint32_t count_ = 0;
};

}  // namespace gingerdrift
