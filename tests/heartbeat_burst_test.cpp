// Runs the service in virtual time with controllers whose processors need time for each heartbeat,
// so that the heartbeats of the whole fleet take most of a heartbeat interval.
#include <gtest/gtest.h>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {

constexpr std::size_t machine_count = 400;
constexpr std::size_t pools = 4;  // on-demand and spot machines in each of two zones
/// 400 machines need as much processor time as 4,000 with a tenth of it each. The heartbeats of an
/// interval take longer than the interval.
constexpr auto processing_time = milliseconds(15);
constexpr auto start_up_time = seconds(60);
constexpr auto downtime = seconds(3);
constexpr auto observed_time = seconds(120);
/// The protocol's time that a user waits for a response.
constexpr auto query_deadline = seconds(2);

site_parameters fleet_shape() {
  site_parameters parameters;
  parameters.heartbeat_s = 5;
  parameters.lease_s = 26;
  parameters.cancel_s = 56;
  parameters.quota_factor = 1000;
  parameters.scheduling_interval_s = 1;
  parameters.capacity = machine_count / pools;
  return parameters;
}

/// A service whose machines all run long tasks.
class heartbeat_burst : public ::testing::Test {
 protected:
  heartbeat_burst() {
    for (std::size_t i = 0; i < machine_count; ++i) {
      sim_job job = array_job(job_name(1000 + i), 1, 1000);
      job.gpus = job.cpus = 8;
      service.site.users.submit(job);
    }
    service.net.run_for(start_up_time);
  }
  void set_processing_time(duration time) {
    for (std::size_t node = 0; node < service.controllers(); ++node)
      service.net.set_processing_time(node_host(node), "/v1/report", time);
  }
  std::uint64_t fencing_token() { return service.state.peek("gd/token")->at("token"); }
  /// Asks for a job at a controller and returns the status, 0 if the response comes too late.
  int query_at(std::size_t node) {
    int status = 0;
    service.net.call("users", front_address_of(node_host(node)),
                     {"GET", "/work/" + job_name(1000), ""}, query_deadline,
                     [&status](const net::response& reply) { status = reply.status; });
    service.net.run_for(query_deadline);
    return status;
  }

  sim_service service{1, 3, fleet_shape()};
};

}  // namespace

TEST_F(heartbeat_burst, a_new_leader_keeps_its_lease_while_the_whole_fleet_reports) {
  ASSERT_TRUE(service.leader());
  const auto token = fencing_token();
  set_processing_time(processing_time);
  service.crash_leader_for(downtime);
  service.net.run_for(observed_time);
  EXPECT_EQ(fencing_token(), token + 1);
  EXPECT_EQ(service.violations(), "");
}

TEST_F(heartbeat_burst, queries_are_answered_in_time_while_the_whole_fleet_reports) {
  set_processing_time(processing_time);
  service.crash_leader_for(downtime);
  service.net.run_for(seconds(15));
  int answered = 0;
  constexpr int queries = 30;
  for (int i = 0; i < queries; ++i) answered += query_at(static_cast<std::size_t>(i) % 3) == 200;
  EXPECT_EQ(answered, queries);
}

}  // namespace gingerdrift::testing
