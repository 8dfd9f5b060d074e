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
  measured.snapshot_time = seconds(7);
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
