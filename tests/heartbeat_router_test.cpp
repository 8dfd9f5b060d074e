// Tests which component answers a worker's heartbeat: the leader term of this controller, the lease
// delegate, or, after a redirect, another controller.
#include "daemon/heartbeat_router.hpp"

#include "leading_controller.hpp"

namespace gingerdrift::testing {

namespace {
class heartbeat_router_test : public leading_controller {
 protected:
  /// Posts `body` as a heartbeat and returns the answer. The default body is a heartbeat without
  /// tasks, from a machine in zone a.
  net::response post_heartbeat(
      const std::string& body =
          R"({"host":"m-1","addr":"m-1:9","flavor":"g8","yard":"a","loaners":false,
                             "shift":1,"tick":1,"baton":1,"pieces":[]})") {
    net::response answer;
    router.handle({"POST", "/v1/report", body},
                  [&answer](const net::response& reply) { answer = reply; });
    net.run_for(milliseconds(100));
    return answer;
  }
  /// Cuts this controller's zone off from the leader, which is in another zone.
  void isolate_zone_from_leader() {
    elector.observe_leader("node-1", fencing_token(3));
    store_record("gd/leader", {{"node", "node-1"}, {"token", 3}, {"incarnation", "x"}});
    leader_reachable = false;
  }

  bool leader_reachable = true;
  bool store_reachable = true;
  workers::lease_delegate delegate{
      runtime,
      store,
      {"node-0", "a", seconds(5)},
      {.leader =
           [this] {
             return workers::leader_contact{elector.leader().node, leader_reachable};
           },
       .zone_of = [](const node_name&) { return zone_name("b"); }}};
  daemon::heartbeat_router router{runtime,
                                  platform,
                                  elector,
                                  delegate,
                                  measured,
                                  {.term = [this] { return term.get(); },
                                   .store_reachable = [this] { return store_reachable; }}};
};
}  // namespace

TEST_F(heartbeat_router_test, the_leader_term_answers_a_heartbeat) {
  become_leader();
  EXPECT_EQ(post_heartbeat().status, 200);
  EXPECT_EQ(measured.heartbeats, 1U);
  EXPECT_TRUE(term->has_received_heartbeats());
}

TEST_F(heartbeat_router_test, the_leader_refuses_a_malformed_heartbeat) {
  become_leader();
  EXPECT_EQ(post_heartbeat("{}").status, 400);
  EXPECT_EQ(measured.heartbeats, 0U);
}

// An answer renews the leases of all tasks of a worker. If a leader answered after its renewal
// grace, tasks that a successor has already cancelled could continue to run.
TEST_F(heartbeat_router_test, redirects_when_the_leader_term_may_not_renew_leases) {
  begin_term();
  ASSERT_FALSE(elector.may_renew_worker_leases());
  EXPECT_EQ(post_heartbeat().status, 421);
  EXPECT_FALSE(term->has_received_heartbeats());
}

TEST_F(heartbeat_router_test, a_non_leader_redirects_to_the_leader_and_counts_the_redirect) {
  elector.observe_leader("node-1", fencing_token(3));
  const auto answer = post_heartbeat();
  EXPECT_EQ(answer.status, 421);
  EXPECT_EQ(answer.body, workers::encode_redirect("node-1"));
  EXPECT_EQ(router.recent_redirects(), 1U);
  EXPECT_EQ(measured.redirected_heartbeats, 1U);
}

TEST_F(heartbeat_router_test, redirects_without_a_target_when_this_node_is_the_known_leader) {
  become_leader();
  term.reset();
  EXPECT_EQ(post_heartbeat().body, workers::encode_redirect(""));
}

TEST_F(heartbeat_router_test, the_delegate_answers_when_the_zone_is_cut_off_from_the_leader) {
  isolate_zone_from_leader();
  EXPECT_EQ(post_heartbeat().status, 200);
  EXPECT_EQ(measured.redirected_heartbeats, 0U);
}

TEST_F(heartbeat_router_test, redirects_instead_of_using_the_delegate_without_the_store) {
  isolate_zone_from_leader();
  store_reachable = false;
  EXPECT_EQ(post_heartbeat().status, 421);
}

}  // namespace gingerdrift::testing
