#pragma once

#include "admission/pool_contention.hpp"
#include "admission/reservations.hpp"
#include "admission/variants.hpp"

namespace gingerdrift::admission {

/// Runs scheduling cycles. A cycle computes decisions from a snapshot, including its time, and has
/// no side effects outside the scheduler. Between cycles, the scheduler keeps variants,
/// reservations and exhausted pools. May be used from any thread, but only from one at a time.
class scheduler {
 public:
  explicit scheduler(const policy& rules)
      : rules_(rules), variants_(rules), contention_(rules.contested_pool_delay) {}
  /// Runs one scheduling cycle. Returns its decisions and keeps the state for the next cycle.
  decisions run_cycle(const snapshot& input);

 private:
  const policy rules_;
  variant_table variants_;
  reservations_by_machine reservations_;
  pool_contention contention_;
};

}  // namespace gingerdrift::admission
