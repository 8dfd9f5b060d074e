#include "workers/lease_expiry.hpp"

namespace gingerdrift::workers {

namespace {
/// The steady clocks of two machines drift apart by at most 0.05%; the rest is a safety margin.
constexpr double max_clock_drift = 0.001;
constexpr auto lease_margin = milliseconds(500);
}  // namespace

void lease_expiry::check(time_point delegates_inactive_since, time_point confirmed_at) {
  const duration lease =
      from_seconds(to_seconds(options_.worker_lease) * (1 + max_clock_drift)) + lease_margin;
  // A deposed leader may have renewed leases until the end of its grace period.
  if (confirmed_at < term_start_ + options_.renewal_grace + lease) return;
  // A delegate in a cut-off zone may have renewed leases until its record became inactive.
  if (confirmed_at < delegates_inactive_since + lease) return;
  for (auto& [name, holder] : workers_.all()) {
    if (holder.attempts.empty() || confirmed_at < holder.last_lease_renewal + lease) continue;
    outcomes_.mark_all_lost(holder, loss_evidence::lease_expired);
  }
}

}  // namespace gingerdrift::workers
