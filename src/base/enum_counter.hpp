#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace gingerdrift {

/// Counts events by the values of an enumeration, which must be numbered from 0 and whose last
/// value is `last`. Must be used on a single thread.
template <typename enumeration, enumeration last>
class enum_counter {
 public:
  /// The number of values of the enumeration.
  static constexpr std::size_t size = static_cast<std::size_t>(last) + 1;

  /// Counts one event.
  void add(enumeration value) { ++counts_.at(static_cast<std::size_t>(value)); }
  /// Returns the number of events with this value.
  std::uint64_t count(enumeration value) const {
    return counts_.at(static_cast<std::size_t>(value));
  }
  /// Calls `visit(value, count)` for each value that has been counted at least once.
  template <typename visitor>
  void for_each_counted(const visitor& visit) const {
    for (std::size_t index = 0; index < size; ++index) {
      if (counts_.at(index) > 0) visit(static_cast<enumeration>(index), counts_.at(index));
    }
  }

 private:
  std::array<std::uint64_t, size> counts_{};
};

}  // namespace gingerdrift
