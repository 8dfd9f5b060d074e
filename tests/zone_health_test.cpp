// Tests when a zone counts as partitioned, and how much longer its machines are then kept.
#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class zone_health_test : public leader_parts {
 protected:
  void send_heartbeats(const std::vector<machine_name>& names) {
    for (const auto& name : names) send_heartbeat(name);
  }
};
}  // namespace

TEST_F(zone_health_test, a_zone_is_partitioned_if_half_of_it_and_three_machines_are_unresponsive) {
  send_heartbeats({"m-1", "m-2", "m-3", "m-4", "m-5", "m-6"});
  send_heartbeats_for(seconds(13), {"m-1", "m-2", "m-3"});
  zones.update({});
  EXPECT_TRUE(zones.is_partitioned("a"));
  EXPECT_EQ(zones.partition_grace("a"), leader::zone_health::partition_grace_period);
  EXPECT_FALSE(zones.is_partitioned("b"));
}

TEST_F(zone_health_test, a_zone_is_not_partitioned_if_less_than_half_of_it_is_unresponsive) {
  send_heartbeats({"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7"});
  send_heartbeats_for(seconds(13), {"m-1", "m-2", "m-3", "m-4"});
  zones.update({});
  EXPECT_FALSE(zones.is_partitioned("a")) << "less than half";
}

TEST_F(zone_health_test, a_zone_is_not_partitioned_if_only_two_machines_are_unresponsive) {
  send_heartbeats({"m-1", "m-2"});
  net.run_for(seconds(13));
  zones.update({});
  EXPECT_FALSE(zones.is_partitioned("a"));
}

// Guards against this failure: a new leader returned all machines of a zone from which it had never
// received a heartbeat.
TEST_F(zone_health_test, machines_without_a_heartbeat_in_this_term_are_included) {
  for (const machine_name& name : std::vector<machine_name>{"m-1", "m-2", "m-3"})
    machines.heartbeat_received(name, {"g8", "a", false});
  net.run_for(seconds(13));
  zones.update({});
  EXPECT_TRUE(zones.is_partitioned("a"));
}

TEST_F(zone_health_test, a_zone_is_mostly_overdue_as_soon_as_half_of_it_is_overdue) {
  send_heartbeats({"m-1", "m-2", "m-3"});
  net.run_for(seconds(4));
  zones.update({});
  EXPECT_FALSE(zones.is_mostly_overdue("a"));
  net.run_for(seconds(1));
  zones.update({});
  EXPECT_TRUE(zones.is_mostly_overdue("a"));
  EXPECT_FALSE(zones.is_partitioned("a"));
}

// Guards against this failure: after a partition, when the first half of a zone had reconnected,
// the other half was returned.
TEST_F(zone_health_test, machines_are_kept_for_a_worker_lease_after_a_partition_has_ended) {
  zones.update({"a"});
  EXPECT_TRUE(zones.is_partitioned("a")) << "it has an active delegate";
  net.run_for(seconds(3));
  EXPECT_FALSE(zones.is_partitioned("a"));
  EXPECT_EQ(zones.partition_grace("a"), leader::zone_health::partition_grace_period);
  net.run_for(worker_lease);
  EXPECT_EQ(zones.partition_grace("a"), duration::zero());
}

TEST_F(zone_health_test,
       a_zone_is_mostly_unreachable_if_three_machines_and_half_of_it_are_unreachable) {
  send_heartbeats({"m-1", "m-2", "m-3", "m-4"});
  workers.find("m-1")->unreachable_since = net.now();
  workers.find("m-2")->unreachable_since = net.now();
  zones.update({});
  EXPECT_FALSE(zones.is_mostly_unreachable("a"));
  workers.find("m-3")->unreachable_since = net.now();
  zones.update({});
  EXPECT_TRUE(zones.is_mostly_unreachable("a"));
}

}  // namespace gingerdrift::testing
