#include "leadership/leader_elector.hpp"

#include <gtest/gtest.h>

#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

/// A simulated controller that only takes part in elections and records their outcome.
struct candidate {
  candidate(sim_net& net, const std::string& name)
      : runtime(net, name),
        store(runtime, "state:1", {100, 50, 8, 24}, std::nullopt, {1, 1, 0.5}),
        elector(
            runtime, store,
            {.node = node_name(name), .lease_duration = seconds(4), .renewal_grace = seconds(5)},
            net.random(),
            {.elected = [this](fencing_token token,
                               const kvstore::condition&) { tokens.push_back(token); },
             .stepped_down = [this] { ++times_stepped_down; }}) {
    elector.start();
  }
  sim_runtime runtime;
  kvstore::client store;
  leadership::leader_elector elector;
  std::vector<fencing_token> tokens;  // one for each election won
  int times_stepped_down = 0;
};

}  // namespace

TEST(leadership, tokens_increase_and_at_most_one_lease_is_valid) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    sim_net net(seed);
    state_service state(net, "state:1");
    std::vector<std::unique_ptr<candidate>> candidates;
    candidates.reserve(3);
    for (int i = 0; i < 3; ++i)
      candidates.push_back(std::make_unique<candidate>(net, "node-" + std::to_string(i)));
    fencing_token newest;
    int handovers = 0;
    for (int step = 0; step < 1200; ++step) {
      if (step % 200 == 100) {
        for (int i = 0; i < 3; ++i) {
          if (candidates[i]->elector.lease_valid())
            net.cut("node-" + std::to_string(i), "state", seconds(8), sim_net::cut_mode::hold);
        }
      }
      net.run_for(milliseconds(100));
      int valid_leases = 0;
      for (const auto& candidate : candidates) {
        if (!candidate->elector.lease_valid()) continue;
        ++valid_leases;
        EXPECT_GE(candidate->elector.token(), newest);
        handovers += candidate->elector.token() > newest;
        newest = candidate->elector.token();
      }
      ASSERT_LE(valid_leases, 1) << "seed " << seed << " step " << step;
    }
    EXPECT_GE(handovers, 5);
  }
}

TEST(leadership, a_restarted_process_takes_over_its_own_leader_key_at_once) {
  sim_net net(1);
  state_service state(net, "state:1");
  auto first_process = std::make_unique<candidate>(net, "node-0");
  net.run_for(seconds(1));
  ASSERT_TRUE(first_process->elector.lease_valid());
  first_process.reset();
  candidate restarted(net, "node-0");
  net.run_for(milliseconds(200));
  EXPECT_TRUE(restarted.elector.lease_valid());
  EXPECT_EQ(restarted.elector.token(), fencing_token(2));
}

TEST(leadership, a_leader_cut_off_from_the_store_renews_worker_leases_only_during_the_grace) {
  sim_net net(1);
  state_service state(net, "state:1");
  candidate leader(net, "node-0");
  net.run_for(seconds(1));
  net.cut("node-0", "state", seconds(60), sim_net::cut_mode::drop);
  net.run_for(seconds(5));
  EXPECT_FALSE(leader.elector.lease_valid());
  EXPECT_TRUE(leader.elector.may_renew_worker_leases());
  net.run_for(seconds(6));
  EXPECT_FALSE(leader.elector.may_renew_worker_leases());
  EXPECT_EQ(leader.times_stepped_down, 1);
}

// Guards against a leader that has lost only its connection to the store and continues to answer
// all workers, so that they never reach its successor.
TEST(leadership, a_leader_steps_down_at_once_when_a_peer_reports_a_successor) {
  sim_net net(1);
  state_service state(net, "state:1");
  candidate leader(net, "node-0");
  net.run_for(seconds(1));
  leader.elector.observe_leader("node-1", fencing_token(1));
  EXPECT_TRUE(leader.elector.is_leader()) << "an equal token does not belong to a successor";
  leader.elector.observe_leader("node-1", fencing_token(2));
  EXPECT_FALSE(leader.elector.is_leader());
  EXPECT_EQ(leader.elector.leader().node, "node-1");
}

TEST(leadership, a_store_outage_that_ends_within_the_renewal_grace_does_not_end_the_term) {
  sim_net net(1);
  state_service state(net, "state:1");
  candidate leader(net, "node-0");
  net.run_for(seconds(1));
  state.start_outage(seconds(7));
  net.run_for(seconds(6));
  EXPECT_FALSE(leader.elector.lease_valid());
  net.run_for(seconds(3));
  EXPECT_TRUE(leader.elector.lease_valid());
  EXPECT_EQ(leader.tokens.size(), 1U);
}

}  // namespace gingerdrift::testing
