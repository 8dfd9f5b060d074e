#include <gtest/gtest.h>

#include "admission/variants.hpp"
#include "support/admission_builders.hpp"

namespace gingerdrift::testing {

using admission::priority;
using admission::variant_table;

/// Fixture with a job that may run on spot machines: its best variant is for spot machines, its
/// lower one for on-demand machines.
class variant_table_test : public ::testing::Test {
 protected:
  variant_table_test() { job.spot = true; }
  const admission::job_admission& refresh_after(duration age) {
    fleet.snapshot.now = job.created + age;
    return variants.refresh(job, fleet.snapshot);
  }
  bool lower_variant_active_after(duration age) { return refresh_after(age).variants.at(1).active; }

  admission_fleet fleet;
  admission::policy rules;
  variant_table variants{rules};
  admission::job_view job = make_job("job");
};

TEST_F(variant_table_test, only_jobs_that_tolerate_restarts_get_spot_pools) {
  job.spot = false;
  const auto& state = refresh_after(seconds(0));
  ASSERT_EQ(state.variants.size(), 1U);
  EXPECT_FALSE(state.variants[0].target.spot);
}

TEST_F(variant_table_test, a_job_not_bound_to_a_zone_has_one_variant_for_all_zones) {
  const auto& state = refresh_after(seconds(0));
  ASSERT_EQ(state.variants.size(), 2U);
  EXPECT_EQ(state.variants[0].target, admission_fleet::pool_in("", /*spot=*/true));
  EXPECT_EQ(state.variants[1].target, admission_fleet::pool_in(""));
}

TEST_F(variant_table_test, pools_that_differ_only_in_their_zone_are_one_tier) {
  job.one_zone = true;
  const auto& state = refresh_after(seconds(0));
  ASSERT_EQ(state.variants.size(), 4U);
  EXPECT_EQ(state.variants[1].tier, 0U);
  EXPECT_EQ(state.variants[2].tier, 1U);
  EXPECT_EQ(state.variants[3].rank, 3U);
}

TEST_F(variant_table_test, a_lower_variant_is_created_after_the_creation_delay) {
  EXPECT_TRUE(refresh_after(seconds(0)).variants.at(0).active);
  EXPECT_FALSE(lower_variant_active_after(rules.variant_creation_delay - milliseconds(1)));
  EXPECT_TRUE(lower_variant_active_after(rules.variant_creation_delay));
}

TEST_F(variant_table_test, a_lower_variant_is_created_later_in_a_contested_pool) {
  variants.set_contested({{{"g8", false}, priority::standard}});
  EXPECT_FALSE(lower_variant_active_after(rules.contested_pool_delay - milliseconds(1)));
  EXPECT_TRUE(lower_variant_active_after(rules.contested_pool_delay));
}

TEST_F(variant_table_test, a_pool_contested_only_by_higher_priorities_has_the_usual_delay) {
  variants.set_contested({{{"g8", false}, priority::high}});
  EXPECT_TRUE(lower_variant_active_after(rules.variant_creation_delay));
}

TEST_F(variant_table_test, a_reset_restarts_the_creation_delay) {
  EXPECT_TRUE(lower_variant_active_after(seconds(100)));
  variants.reset(job.id, fleet.snapshot.now);
  EXPECT_FALSE(lower_variant_active_after(seconds(100)));
  EXPECT_TRUE(lower_variant_active_after(seconds(100) + rules.variant_creation_delay));
}

TEST_F(variant_table_test, a_better_variant_stays_active_for_an_upgrade_until_the_deletion_delay) {
  job.waiting.clear();
  job.estimate = rules.upgrade_min_remaining;
  job.placed = {make_running_task(0, "m1", job.created)};
  const auto& state = refresh_after(seconds(10));
  EXPECT_TRUE(state.variants[0].active);
  EXPECT_FALSE(state.variants[1].active) << "the job already runs in this pool";
  refresh_after(seconds(10) + rules.variant_deletion_delay);
  EXPECT_FALSE(state.variants[0].active);
}

}  // namespace gingerdrift::testing
