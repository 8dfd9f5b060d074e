// Tests when scheduling cycles start.
#include "leader/scheduling_loop.hpp"

#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class scheduling_loop_test : public leader_parts {
 protected:
  scheduling_loop_test() {
    on_cycle_finished = [this] { ++cycles_reported; };
  }
  int cycles_reported = 0;
};
}  // namespace

TEST_F(scheduling_loop_test, simultaneous_changes_are_handled_by_one_cycle) {
  loop.request_cycle();
  loop.request_cycle();
  net.run_for(seconds(1));
  EXPECT_EQ(executor.cycles, 1);
  EXPECT_EQ(cycles_reported, 1);
  EXPECT_EQ(loop.cycles_started(), 1U);
  EXPECT_EQ(loop.cycles_finished(), 1U);
}

TEST_F(scheduling_loop_test, a_change_during_a_cycle_starts_another_cycle) {
  loop.request_cycle();
  net.run_for(milliseconds(11));
  ASSERT_EQ(loop.cycles_started(), 1U);
  ASSERT_EQ(loop.cycles_finished(), 0U);
  loop.request_cycle();
  net.run_for(seconds(1));
  EXPECT_EQ(executor.cycles, 2);
}

TEST_F(scheduling_loop_test, cycles_start_no_sooner_than_the_minimum_interval_after_each_other) {
  for (int i = 0; i < 1000; ++i) {
    loop.request_cycle();
    net.run_for(milliseconds(1));
  }
  EXPECT_GE(executor.cycles, 9);
  EXPECT_LE(executor.cycles, 11);
}

TEST_F(scheduling_loop_test, no_cycle_starts_before_recovery) {
  recovered = false;
  loop.request_cycle();
  net.run_for(seconds(1));
  EXPECT_EQ(executor.cycles, 0);
}

TEST_F(scheduling_loop_test, no_cycle_starts_without_a_valid_lease) {
  lease_valid = false;
  loop.request_cycle();
  net.run_for(seconds(1));
  EXPECT_EQ(executor.cycles, 0);
}

TEST_F(scheduling_loop_test, decisions_are_dropped_if_the_lease_ends_during_the_cycle) {
  send_heartbeat("m-1");
  const auto& job = add_job("run-1", 1);
  executor.decisions.starts = {{"run-1", 0, "m-1"}};
  loop.request_cycle();
  net.run_for(milliseconds(11));
  lease_valid = false;
  net.run_for(seconds(1));
  EXPECT_EQ(loop.cycles_finished(), 1U);
  EXPECT_TRUE(job.attempts().empty());
}

}  // namespace gingerdrift::testing
