#include "leader/lease_policy.hpp"

#include <algorithm>

namespace gingerdrift::leader {

namespace {
/// Steady clocks of two machines drift apart by 0.05% at most; the rest is reserve.
constexpr double clock_drift = 0.001;
/// Time for answers that are under way when a cancellation is confirmed.
constexpr duration cancellation_margin = seconds(3);

/// A worker's lease as the slowest permitted clock measures it.
duration longest_worker_lease(const config::platform_settings& platform) {
  return from_seconds(to_seconds(platform.worker_lease) * (1 + clock_drift));
}
}  // namespace

duration renewal_grace(const config::platform_settings& platform) {
  const duration left =
      platform.cancellation_deadline - longest_worker_lease(platform) - cancellation_margin;
  return std::max<duration>(duration::zero(), left);
}

job_store::cancellation_acknowledgement acknowledgement_of_cancellations(
    const config::platform_settings& platform) {
  return platform.cancellation_deadline < longest_worker_lease(platform) + cancellation_margin
             ? job_store::cancellation_acknowledgement::when_tasks_are_gone
             : job_store::cancellation_acknowledgement::when_stored;
}

}  // namespace gingerdrift::leader
