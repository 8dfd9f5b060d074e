// How long workers' leases may be renewed without the store, and when cancellations are told.
#include "leader/lease_policy.hpp"

#include <gtest/gtest.h>

namespace gingerdrift::testing {

namespace {
config::platform_settings with_times(seconds cancel, seconds lease) {
  config::platform_settings platform;
  platform.cancellation_deadline = cancel;
  platform.worker_lease = lease;
  return platform;
}
}  // namespace

TEST(lease_policy, leases_are_renewed_for_what_a_cancellation_has_beyond_the_longest_lease) {
  const duration grace = leader::renewal_grace(with_times(seconds(44), seconds(24)));
  EXPECT_NEAR(to_seconds(grace), 44 - 24 * 1.001 - 3, 1e-6);
}

TEST(lease_policy, nothing_is_renewed_without_the_store_where_a_lease_outlasts_a_cancellation) {
  EXPECT_EQ(leader::renewal_grace(with_times(seconds(20), seconds(24))), duration::zero());
  EXPECT_EQ(leader::renewal_grace(with_times(seconds(27), seconds(24))), duration::zero());
}

TEST(lease_policy, cancellations_are_told_late_where_a_lease_outlasts_them) {
  using job_store::cancellation_acknowledgement;
  EXPECT_EQ(leader::acknowledgement_of_cancellations(with_times(seconds(44), seconds(24))),
            cancellation_acknowledgement::when_stored);
  EXPECT_EQ(leader::acknowledgement_of_cancellations(with_times(seconds(27), seconds(24))),
            cancellation_acknowledgement::when_tasks_are_gone)
      << "the clocks' drift counts";
}

}  // namespace gingerdrift::testing
