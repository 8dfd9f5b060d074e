// Tests for how long worker leases may be renewed without the store, and when cancellations are
// acknowledged to users.
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

TEST(lease_policy, renewal_grace_is_the_cancellation_time_less_the_longest_lease_and_a_margin) {
  const duration grace = leader::renewal_grace(with_times(seconds(44), seconds(24)));
  EXPECT_NEAR(to_seconds(grace), 44 - 24 * 1.001 - 3, 1e-6);
}

TEST(lease_policy, renewal_grace_is_zero_if_a_lease_lasts_longer_than_the_cancellation_time) {
  EXPECT_EQ(leader::renewal_grace(with_times(seconds(20), seconds(24))), duration::zero());
  EXPECT_EQ(leader::renewal_grace(with_times(seconds(27), seconds(24))), duration::zero());
}

TEST(lease_policy,
     cancellations_are_acknowledged_late_if_a_lease_lasts_longer_than_the_cancellation_time) {
  using job_store::cancellation_acknowledgement;
  EXPECT_EQ(leader::acknowledgement_of_cancellations(with_times(seconds(44), seconds(24))),
            cancellation_acknowledgement::when_stored);
  EXPECT_EQ(leader::acknowledgement_of_cancellations(with_times(seconds(27), seconds(24))),
            cancellation_acknowledgement::when_tasks_are_gone)
      << "the clock drift is included";
}

}  // namespace gingerdrift::testing
