#include "leader/lease_policy.hpp"

#include <algorithm>

namespace gingerdrift::leader {

namespace {
/// Steady clocks of two machines drift apart by at most 0.05%. The allowance is twice as large as a
/// safety margin.
constexpr double clock_drift_allowance = 0.001;
/// Time for answers that are still in transit to workers when a cancellation is confirmed.
constexpr duration cancellation_margin = seconds(3);

/// Returns the duration of a worker lease if the worker's clock is as slow as clock_drift_allowance
/// permits.
duration longest_worker_lease(const config::platform_settings& platform) {
  return from_seconds(to_seconds(platform.worker_lease) * (1 + clock_drift_allowance));
}
}  // namespace

duration renewal_grace(const config::platform_settings& platform) {
  const duration remaining =
      platform.cancellation_deadline - longest_worker_lease(platform) - cancellation_margin;
  return std::max<duration>(duration::zero(), remaining);
}

job_store::cancellation_acknowledgement acknowledgement_of_cancellations(
    const config::platform_settings& platform) {
  return platform.cancellation_deadline < longest_worker_lease(platform) + cancellation_margin
             ? job_store::cancellation_acknowledgement::when_tasks_are_gone
             : job_store::cancellation_acknowledgement::when_stored;
}

}  // namespace gingerdrift::leader
