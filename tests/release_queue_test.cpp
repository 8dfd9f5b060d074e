// Tests how machines are returned to the cloud.
#include "cloud/release_queue.hpp"

#include <gtest/gtest.h>

#include "scripted_cloud.hpp"

namespace gingerdrift::testing {

namespace {

class released_machines : public ::testing::Test {
 protected:
  cloud::inventory_hooks hooks() {
    return {.machine_terminated =
                [this](const machine_name& machine, cloud::termination_evidence) {
                  terminated.push_back(machine);
                },
            .changed = [] {},
            .lease_valid = [] { return true; },
            .heartbeat_timeout_extension = [](const zone_name&) { return duration::zero(); }};
  }

  sim_net net{1};
  sim_runtime runtime{net, "node-0"};
  scripted_cloud cloud_service{net};
  cloud::cloud_client client = scripted_cloud::client(runtime);
  cloud::machine_table machines;
  std::vector<machine_name> terminated;
  const cloud::inventory_hooks inventory_hooks = hooks();
  cloud::release_queue releases{client, machines, inventory_hooks};
};

}  // namespace

// Until the cloud confirms the return, tasks may still run on the machine and must not count as
// lost.
TEST_F(released_machines, are_removed_only_after_the_cloud_confirms_their_return) {
  cloud_service.answer = {503, "{}", std::nullopt, false};
  releases.add("n-1", cloud::release_reason::idle);
  releases.send();
  net.run_for(seconds(5));
  EXPECT_NE(machines.find("n-1"), nullptr);
  EXPECT_TRUE(terminated.empty());

  cloud_service.answer = {200, "{}", std::nullopt, false};
  releases.send();
  net.run_for(seconds(5));
  EXPECT_TRUE(machines.was_removed("n-1"));
  EXPECT_EQ(terminated, std::vector<machine_name>{"n-1"});
}

// The cloud never reuses a name. An outdated list or a delayed decision must not add a removed
// machine again.
TEST_F(released_machines, are_not_added_again_after_removal) {
  machines.remove("n-1", net.now());
  releases.add("n-1", cloud::release_reason::idle);
  EXPECT_EQ(machines.find("n-1"), nullptr);
}

TEST_F(released_machines, are_sent_with_one_request_in_flight) {
  releases.add("n-1", cloud::release_reason::idle);
  releases.send();
  releases.add("n-2", cloud::release_reason::idle);
  releases.send();
  net.run_for(seconds(1));
  ASSERT_EQ(cloud_service.calls.size(), 1U);
  EXPECT_EQ(cloud_service.sent_field(0, "hosts"), nlohmann::json({"n-1"}));
}

TEST_F(released_machines, are_sent_in_batches_of_at_most_a_hundred) {
  for (int i = 0; i < 101; ++i)
    releases.add(machine_name("n-" + std::to_string(i)), cloud::release_reason::idle);
  releases.send();
  net.run_for(seconds(1));
  EXPECT_EQ(cloud_service.sent_field(0, "hosts").size(), 100U);
}

}  // namespace gingerdrift::testing
