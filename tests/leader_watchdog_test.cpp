// Tests when a leader that receives no heartbeats from workers steps down.
#include "daemon/leader_watchdog.hpp"

#include "leading_controller.hpp"

namespace gingerdrift::testing {

namespace {
class leader_watchdog_test : public leading_controller {
 protected:
  leader_watchdog_test() {
    net.serve("node-1", "node-1:2",
              [this](const net::request& message, const net::reply_fn& reply) {
                peer.handle(message, reply);
              });
    peers.start();
    become_leader();
    watchdog.start();
  }
  peers::peer_network::hooks peer_callbacks() {
    return {.handle_user_request = [](const net::request&, const net::reply_fn&) {},
            .job_announced = [](const job_id&) {},
            .store_reachable = [] { return true; },
            .heartbeats_seen = [this] { return heartbeats_at_peer; },
            .leader = [] { return peers::leader_identity{}; },
            .leader_observed = [](const node_name&, fencing_token) {}};
  }
  void receive_heartbeats(int count) {
    for (int i = 0; i < count; ++i)
      term->handle_heartbeat(heartbeat(machine_name("m-" + std::to_string(i))),
                             [](const std::optional<std::string>&) {});
  }

  /// Number of recent worker heartbeats that the peer reports.
  std::uint64_t heartbeats_at_peer = 5;
  sim_runtime peer_runtime{net, "node-1"};
  peers::peer_network peer{peer_runtime, "node-1", {}, peer_callbacks()};
  peers::peer_network peers{runtime, "node-0", {{"node-1", "node-1:2"}}, peer_callbacks()};
  daemon::leader_watchdog watchdog{runtime, seconds(3), peers,
                                   elector, measured,   [this] { return term.get(); }};
};
}  // namespace

TEST_F(leader_watchdog_test, steps_down_and_backs_off_when_a_peer_receives_the_heartbeats) {
  receive_heartbeats(1);
  net.run_for(milliseconds(6900));
  EXPECT_TRUE(elector.is_leader())
      << "the timeout of two heartbeat periods and one second has not passed";
  net.run_for(milliseconds(700));
  EXPECT_FALSE(elector.is_leader());
  net.run_for(seconds(14));
  EXPECT_FALSE(elector.is_leader())
      << "the node must leave the election to its peer while it backs off";
}

TEST_F(leader_watchdog_test, stays_leader_when_its_peer_receives_no_heartbeats_either) {
  heartbeats_at_peer = 0;
  receive_heartbeats(1);
  net.run_for(seconds(20));
  EXPECT_TRUE(elector.is_leader());
}

TEST_F(leader_watchdog_test, stays_leader_when_the_peer_is_unreachable) {
  receive_heartbeats(1);
  net.run_for(seconds(2));
  net.stop("node-1");
  net.run_for(seconds(20));
  EXPECT_TRUE(elector.is_leader());
}

TEST_F(leader_watchdog_test, stays_leader_while_it_has_no_machines) {
  net.run_for(seconds(20));
  EXPECT_TRUE(elector.is_leader());
}

TEST_F(leader_watchdog_test, steps_down_sooner_with_many_machines) {
  receive_heartbeats(20);
  net.run_for(seconds(4));
  EXPECT_TRUE(elector.is_leader());
  net.run_for(milliseconds(1100));
  EXPECT_FALSE(elector.is_leader());
}

}  // namespace gingerdrift::testing
