#pragma once

#include <cstdint>
#include <iterator>
#include <map>

namespace gingerdrift {

/// A set of task indices, stored as closed ranges so that 100,000 finished tasks need little
/// memory.
class range_set {
 public:
  /// Reports whether the set contains `value`.
  bool contains(std::uint32_t value) const {
    const auto next = ranges_.upper_bound(value);
    return next != ranges_.begin() && value <= std::prev(next)->second;
  }
  /// Inserts a value. Returns false if the set already contains it.
  bool insert(std::uint32_t value) {
    if (contains(value)) return false;
    std::uint32_t first = value;
    std::uint32_t last = value;
    const auto next = ranges_.upper_bound(value);
    if (next != ranges_.begin()) {
      const auto previous = std::prev(next);
      if (previous->second + 1 == value) {
        first = previous->first;
        ranges_.erase(previous);
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
  /// Inserts all values from `first` to `last`, both included.
  void insert_range(std::uint32_t first, std::uint32_t last) {
    for (std::uint32_t value = first; value <= last; ++value) insert(value);
  }
  /// Returns the number of values.
  std::uint32_t count() const { return count_; }
  /// Returns the ranges as a map from first to last value. Ranges are neither adjacent nor
  /// overlapping.
  const std::map<std::uint32_t, std::uint32_t>& ranges() const { return ranges_; }

 private:
  std::map<std::uint32_t, std::uint32_t> ranges_;
  std::uint32_t count_ = 0;
};

}  // namespace gingerdrift
