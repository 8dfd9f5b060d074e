#include "job_store/transaction_limits.hpp"

#include <algorithm>

namespace gingerdrift::job_store {

namespace {
constexpr std::uint32_t min_operations = 4;
constexpr std::size_t min_value_bytes = 512;
}  // namespace

void transaction_limits::reduce(std::size_t rejected_operations, std::size_t largest_value_bytes) {
  if (rejected_operations > min_operations) {
    const auto half = static_cast<std::uint32_t>(rejected_operations / 2);
    operations_ = std::max(min_operations, half);
  } else {
    const std::size_t half = std::min(value_bytes_, largest_value_bytes) / 2;
    value_bytes_ = std::max(min_value_bytes, half);
  }
}

}  // namespace gingerdrift::job_store
