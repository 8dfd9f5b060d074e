#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace gingerdrift::kvstore {

/// Limits of the state service, which all controllers share.
struct service_limits {
  double requests_per_s = 100;
  double writes_per_s = 30;
  double value_kb = 8;
  std::uint32_t txn_operations = 24;
};

/// Returns the current limits, with each size lowered to the announced one if that is smaller. An
/// announced change comes into force without notice, and larger values are refused from then on.
/// Therefore nothing is ever written that would exceed the announced sizes.
inline service_limits writable_sizes(service_limits current,
                                     const std::optional<service_limits>& announced) {
  if (!announced) return current;
  current.value_kb = std::min(current.value_kb, announced->value_kb);
  current.txn_operations = std::min(current.txn_operations, announced->txn_operations);
  return current;
}

/// Returns the size in bytes that a value is planned not to exceed. It is slightly below the limit,
/// because the limit applies to the text form of the value that the service itself produces.
inline std::size_t planned_value_bytes(const service_limits& limits) {
  constexpr double planned_share = 0.9;
  return static_cast<std::size_t>(limits.value_kb * 1024 * planned_share);
}

}  // namespace gingerdrift::kvstore
