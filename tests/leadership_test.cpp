#include "leadership/leader_elector.hpp"

#include <gtest/gtest.h>

#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

/// A controller that only takes part in elections, and notes what happens to it.
struct candidate {
  candidate(sim_net& net, const std::string& name)
      : runtime(net, name),
        store(runtime, "state:1", {100, 50, 8, 24}, std::nullopt, {1, 1, 0.5}),
        elector(runtime, store,
                {.node = node_name(name), .lease = seconds(4), .renewal_grace = seconds(5)},
                net.random(),
                {.elected = [this](fencing_token token,
                                   const kvstore::condition&) { tokens.push_back(token); },
                 .deposed = [this] { ++times_deposed; }}) {
    elector.start();
  }
  sim_runtime runtime;
  kvstore::client store;
  leadership::leader_elector elector;
  std::vector<fencing_token> tokens;
  int times_deposed = 0;
};

}  // namespace

TEST(leadership, tokens_rise_and_two_leaders_are_never_valid_at_once) {
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
      int lease_valid = 0;
      for (const auto& candidate : candidates) {
        if (!candidate->elector.lease_valid()) continue;
        ++lease_valid;
        EXPECT_GE(candidate->elector.token(), newest);
        handovers += candidate->elector.token() > newest;
        newest = candidate->elector.token();
      }
      ASSERT_LE(lease_valid, 1) << "seed " << seed << " step " << step;
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

TEST(leadership, a_leader_without_the_store_renews_worker_leases_only_for_its_grace) {
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
  EXPECT_EQ(leader.times_deposed, 1);
}

// Guards against: a leader that lost only the store kept all workers from its successor.
TEST(leadership, a_leader_that_hears_of_a_successor_steps_down_at_once) {
  sim_net net(1);
  state_service state(net, "state:1");
  candidate leader(net, "node-0");
  net.run_for(seconds(1));
  leader.elector.observe_leader("node-1", fencing_token(1));
  EXPECT_TRUE(leader.elector.is_leader()) << "an equal token is no successor's";
  leader.elector.observe_leader("node-1", fencing_token(2));
  EXPECT_FALSE(leader.elector.is_leader());
  EXPECT_EQ(leader.elector.leader().node, "node-1");
}

TEST(leadership, an_outage_of_the_store_ends_no_term) {
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
