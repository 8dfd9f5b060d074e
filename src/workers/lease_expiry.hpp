#pragma once

#include "workers/attempt_outcomes.hpp"
#include "workers/reconciler_options.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// Finds workers whose leases have certainly expired, whether the last renewal came from this
/// leader, a deposed leader or a lease delegate.
class lease_expiry {
 public:
  /// `term_start`: when the current term began.
  lease_expiry(worker_table& workers, attempt_outcomes& outcomes,
               const reconciler_options& settings, time_point term_start)
      : workers_(workers), outcomes_(outcomes), options_(settings), term_start_(term_start) {}

  /// Marks the attempts of such workers as lost. A read of the store sent at `confirmed_at` has to
  /// have shown that no lease delegate has been active since `delegates_inactive_since`.
  void check(time_point delegates_inactive_since, time_point confirmed_at);

 private:
  worker_table& workers_;
  attempt_outcomes& outcomes_;
  const reconciler_options& options_;
  time_point term_start_;
};

}  // namespace gingerdrift::workers
