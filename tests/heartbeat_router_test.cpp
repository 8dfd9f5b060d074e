// Who answers a worker's heartbeat: this controller's term, the lease delegate, or another one.
#include "daemon/heartbeat_router.hpp"

#include "leading_controller.hpp"

namespace gingerdrift::testing {

namespace {
class heartbeat_router_test : public leading_controller {
 protected:
  /// The answer to a heartbeat without tasks of a machine in zone a, or to another text.
  net::response post(const std::string& body =
                         R"({"host":"m-1","addr":"m-1:9","flavor":"g8","yard":"a","loaners":false,
                             "shift":1,"tick":1,"baton":1,"pieces":[]})") {
    net::response answer;
    router.handle({"POST", "/v1/report", body},
                  [&answer](const net::response& reply) { answer = reply; });
    net.run_for(milliseconds(100));
    return answer;
  }
  /// This controller's zone is cut off from the leader, in another zone.
  void cut_off() {
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

TEST_F(heartbeat_router_test, the_leaders_term_answers) {
  lead();
  EXPECT_EQ(post().status, 200);
  EXPECT_EQ(measured.heartbeats, 1U);
  EXPECT_TRUE(term->has_received_heartbeats());
}

TEST_F(heartbeat_router_test, the_leader_refuses_a_malformed_heartbeat) {
  lead();
  EXPECT_EQ(post("{}").status, 400);
  EXPECT_EQ(measured.heartbeats, 0U);
}

// An answer renews the leases of all that a worker runs, and a successor may have cancelled it.
TEST_F(heartbeat_router_test, a_term_that_may_not_renew_leases_answers_no_worker) {
  begin_term();
  ASSERT_FALSE(elector.may_renew_worker_leases());
  EXPECT_EQ(post().status, 421);
  EXPECT_FALSE(term->has_received_heartbeats());
}

TEST_F(heartbeat_router_test, another_controller_redirects_to_the_leader_and_counts_it) {
  elector.observe_leader("node-1", fencing_token(3));
  const auto answer = post();
  EXPECT_EQ(answer.status, 421);
  EXPECT_EQ(answer.body, workers::encode_redirect("node-1"));
  EXPECT_EQ(router.redirected_lately(), 1U);
  EXPECT_EQ(measured.redirected_heartbeats, 1U);
}

TEST_F(heartbeat_router_test, never_redirects_a_worker_to_itself) {
  lead();
  term.reset();
  EXPECT_EQ(post().body, workers::encode_redirect(""));
}

TEST_F(heartbeat_router_test, the_delegate_answers_workers_that_are_cut_off_from_the_leader) {
  cut_off();
  EXPECT_EQ(post().status, 200);
  EXPECT_EQ(measured.redirected_heartbeats, 0U);
}

TEST_F(heartbeat_router_test, without_the_store_the_delegate_is_passed_over) {
  cut_off();
  store_reachable = false;
  EXPECT_EQ(post().status, 421);
}

}  // namespace gingerdrift::testing
