#pragma once

#include <cstddef>
#include <cstdint>

#include "kvstore/limits.hpp"

namespace gingerdrift::job_store {

/// Size limits of the transactions and values that the leader writes.
///
/// The limits of the state service may be lowered without notice. The same transaction would then
/// be rejected on every retry, so the limits here are reduced each time a transaction is rejected
/// for its size.
class transaction_limits {
 public:
  explicit transaction_limits(const kvstore::service_limits& sizes)
      : operations_(sizes.txn_operations), value_bytes_(kvstore::planned_value_bytes(sizes)) {}

  std::uint32_t operations() const { return operations_; }
  std::size_t value_bytes() const { return value_bytes_; }

  /// Reduces the limits after a transaction was rejected for its size. `rejected_operations`:
  /// number of its operations. `largest_value_bytes`: size of its largest value.
  ///
  /// The next transaction has half as many operations. Once transactions have the minimum number of
  /// operations, values must be at most half as large as the largest one that was rejected.
  void reduce(std::size_t rejected_operations, std::size_t largest_value_bytes);

 private:
  std::uint32_t operations_;
  std::size_t value_bytes_;
};

}  // namespace gingerdrift::job_store
