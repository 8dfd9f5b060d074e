// Tests the contents of the status report and when it is logged.
#include "daemon/status_report.hpp"

#include <gtest/gtest.h>

#include "support/sim_net.hpp"

namespace gingerdrift::testing {

namespace {
class status_report_test : public ::testing::Test {
 protected:
  sim_net net{1};
  sim_runtime runtime{net, "node-0"};
  bool is_leader = true;
  int reports = 0;
  daemon::status_logger logger{runtime,
                               {.is_leader = [this] { return is_leader; },
                                .status =
                                    [this] {
                                      ++reports;
                                      return std::string("{}");
                                    }}};
};
}  // namespace

TEST_F(status_report_test, shows_counters_and_the_time_spent_on_each_activity) {
  metrics measured;
  measured.heartbeats = 1;
  measured.redirected_heartbeats = 2;
  measured.starts = 3;
  measured.preemptions = 4;
  measured.upgrades = 5;
  measured.user_requests = 6;
  measured.loop_activities.snapshots = seconds(7);
  measured.scheduling_cycles.add(seconds(8));
  nlohmann::json report;
  daemon::add_metrics(measured, report);
  EXPECT_EQ(report["heartbeats"], 1);
  EXPECT_EQ(report["heartbeats_redirected"], 2);
  EXPECT_EQ(report["starts"], 3);
  EXPECT_EQ(report["preemptions"], 4);
  EXPECT_EQ(report["upgrades"], 5);
  EXPECT_EQ(report["user_requests"], 6);
  EXPECT_EQ(report["spent_s"]["snapshots"], 7.0);
  EXPECT_EQ(report["spent_s"]["cycles"], 8.0);
}

TEST_F(status_report_test, shows_a_peer_that_never_answered_as_not_seen) {
  const peers::peer_network network(runtime, "node-0", {{"node-1", "node-1:2"}}, {});
  nlohmann::json report;
  daemon::add_peers(network, report);
  EXPECT_EQ(report["peers"]["node-1"]["seen"], false);
  EXPECT_EQ(report["peers"]["node-1"]["store_reachable"], false);
}

TEST_F(status_report_test, shows_how_queries_were_answered_and_why_others_were_not) {
  api::answer_statistics statistics;
  statistics.answers.add(api::answer_source::leader_response);
  statistics.forwarding_failures.add(api::forwarding_failure::no_response);
  statistics.retries.add(api::retry_reason::state_service_budget_used_up);
  statistics.retries.add(api::retry_reason::state_service_budget_used_up);
  const nlohmann::json summary = statistics.summary();
  EXPECT_EQ(summary["answers"], nlohmann::json({{"leader_response", 1}}));
  EXPECT_EQ(summary["forwarding_failures"], nlohmann::json({{"no_response", 1}}));
  EXPECT_EQ(summary["retries"], nlohmann::json({{"state_service_budget_used_up", 2}}));
}

TEST_F(status_report_test, failures_since_an_earlier_report_leave_out_what_did_not_increase) {
  api::answer_statistics statistics;
  statistics.retries.add(api::retry_reason::no_leader);
  const api::answer_statistics earlier = statistics;
  EXPECT_EQ(statistics.failures_since(earlier), "");
  statistics.retries.add(api::retry_reason::record_outdated);
  statistics.forwarding_failures.add(api::forwarding_failure::refused);
  EXPECT_EQ(statistics.failures_since(earlier), "record_outdated=1 forward_refused=1");
}

TEST_F(status_report_test, shows_the_connections_of_a_server) {
  const net::server_statistics server{.open = 1,
                                      .open_max = 2,
                                      .accepted = 3,
                                      .refused_at_limit = 4,
                                      .closed_for_others = 5,
                                      .closed_near_limit = 6};
  nlohmann::json report;
  daemon::add_server("peer", server, report);
  EXPECT_EQ(report["servers"]["peer"], nlohmann::json({{"open", 1},
                                                       {"open_max", 2},
                                                       {"accepted", 3},
                                                       {"refused_at_limit", 4},
                                                       {"closed_for_others", 5},
                                                       {"closed_near_limit", 6}}));
}

TEST_F(status_report_test, a_leader_logs_its_status_every_30_s) {
  logger.start();
  net.run_for(seconds(95));
  EXPECT_EQ(reports, 3);
}

TEST_F(status_report_test, a_controller_that_does_not_lead_logs_no_status) {
  is_leader = false;
  logger.start();
  net.run_for(seconds(95));
  EXPECT_EQ(reports, 0);
}

}  // namespace gingerdrift::testing
