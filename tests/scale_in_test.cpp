// Which machines go back to the cloud, and when.
#include "leader/scale_in.hpp"

#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class scale_in_test : public leader_parts {
 protected:
  bool released(const machine_name& machine) {
    scale_in.release_machines();
    return machines.is_releasing(machine);
  }
  leader::scale_in scale_in{context, zones, decisions};
};
}  // namespace

TEST_F(scale_in_test, an_idle_machine_goes_once_its_least_time_is_paid) {
  hear("m-1");
  hear_for(seconds(58), {"m-1"});
  EXPECT_FALSE(released("m-1"));
  hear_for(seconds(3), {"m-1"});
  EXPECT_TRUE(released("m-1"));
}

TEST_F(scale_in_test, a_machine_that_some_waiting_job_counts_on_stays) {
  hear("m-1");
  admission::decisions made;
  made.awaited_machines = {"m-1"};
  decisions.apply(made);
  hear_for(seconds(70), {"m-1"});
  EXPECT_FALSE(released("m-1"));
  decisions.apply({});
  EXPECT_TRUE(released("m-1"));
}

TEST_F(scale_in_test, a_machine_with_an_attempt_stays) {
  hear("m-1");
  hear_for(seconds(70), {"m-1"});
  workers.place(add_job("run-1", 1), 0, "m-1", attempt_number(1));
  EXPECT_FALSE(released("m-1"));
}

TEST_F(scale_in_test, a_silent_machine_goes_after_the_workers_lease) {
  hear("m-1");
  net.run_for(seconds(23));
  EXPECT_FALSE(released("m-1"));
  net.run_for(seconds(2));
  EXPECT_TRUE(released("m-1"));
}

TEST_F(scale_in_test, a_silent_spot_machine_goes_after_half_of_it) {
  hear("m-1", "a", true);
  net.run_for(seconds(13));
  EXPECT_TRUE(released("m-1"));
}

TEST_F(scale_in_test, silent_machines_of_a_zone_that_is_cut_off_are_kept_longer) {
  hear("m-1");
  net.run_for(seconds(100));
  zones.update({"a"});
  EXPECT_FALSE(released("m-1"));
  net.run_for(seconds(50));
  zones.update({"a"});
  EXPECT_TRUE(released("m-1"));
}

// Guards against: a leader that its workers could not reach returned 73 spot machines.
TEST_F(scale_in_test, no_silent_machine_of_a_zone_in_doubt_goes) {
  for (const machine_name& name : std::vector<machine_name>{"m-1", "m-2", "m-3"})
    hear(name, "a", true);
  net.run_for(seconds(7));
  hear("m-2", "a", true);
  hear("m-3", "a", true);
  net.run_for(seconds(6));
  zones.update({});
  ASSERT_TRUE(zones.in_doubt("a")) << "all are overdue, one of them silent";
  ASSERT_FALSE(zones.cut_off("a"));
  EXPECT_FALSE(released("m-1"));
}

TEST_F(scale_in_test, a_quarantined_machine_goes_after_a_while) {
  hear("m-1").quarantined_since = net.now();
  hear_for(seconds(14), {"m-1"});
  EXPECT_FALSE(released("m-1")) << "its jobs may fail elsewhere too";
  hear_for(seconds(2), {"m-1"});
  EXPECT_TRUE(released("m-1"));
}

TEST_F(scale_in_test, an_unreachable_machine_goes_only_after_several_probes) {
  auto& worker = hear("m-1");
  worker.unreachable_since = net.now();
  hear_for(seconds(40), {"m-1"});
  EXPECT_FALSE(released("m-1")) << "it was not probed, so it isn't idle either";
  worker.unanswered_probes = 3;
  EXPECT_TRUE(released("m-1"));
}

}  // namespace gingerdrift::testing
