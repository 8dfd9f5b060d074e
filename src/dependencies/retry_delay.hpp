#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.hpp"

namespace gingerdrift::dependencies {

/// Returns the delay before a record is read again.
///
/// The delay is short if the store did not respond. It doubles with each of the `malformed_reads`
/// consecutive reads that found the record malformed, up to a limit: such a record stays malformed
/// until an operator repairs it.
inline duration retry_delay(std::uint32_t malformed_reads) {
  constexpr duration minimum_delay = milliseconds(300);
  constexpr std::uint32_t max_doublings = 5;
  return minimum_delay * (1 << std::min(malformed_reads, max_doublings));
}

}  // namespace gingerdrift::dependencies
