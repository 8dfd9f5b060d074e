// Tests how machines are rented: which requests are sent, and what happens if the cloud lacks
// capacity or does not answer.
#include "cloud/scale_out.hpp"

#include <gtest/gtest.h>

#include "scripted_cloud.hpp"

namespace gingerdrift::testing {

namespace {

const admission::pool small_pool{"g8", "a", false};
const admission::pool large_pool{"g16", "a", false};
constexpr duration refusal_backoff = seconds(10);
constexpr duration send_period = milliseconds(250);

class scale_out_requests : public ::testing::Test {
 protected:
  static cloud::options options() {
    cloud::options options;
    options.refusal_backoff = refusal_backoff;
    options.machines_max = 10;
    return options;
  }
  /// Sends due requests during `span`, with the period that machine_inventory uses.
  void send_for(duration span) {
    const time_point end = net.now() + span;
    while (net.now() < end) {
      scale_out.send();
      net.run_for(send_period);
    }
  }

  sim_net net{1};
  sim_runtime runtime{net, "node-0"};
  scripted_cloud cloud_service{net};
  cloud::cloud_client client = scripted_cloud::client(runtime);
  cloud::machine_table machines;
  cloud::scale_out scale_out{client, machines, options(), fencing_token(7), [] {}};
};

}  // namespace

TEST_F(scale_out_requests, are_limited_to_one_unfinished_per_pool) {
  scale_out.request({{small_pool, 2}});
  scale_out.request({{small_pool, 3}});
  EXPECT_EQ(scale_out.pending_machines().size(), 2U);
}

TEST_F(scale_out_requests, stay_within_the_machine_limit) {
  machines.find_or_add("n-1", net.now());
  scale_out.request({{small_pool, 8}, {large_pool, 8}});
  EXPECT_EQ(scale_out.pending_machines().size(), 9U) << "one of ten is rented already";
}

// A response may be lost after the cloud has rented machines. Only the idempotency key prevents a
// retry from renting them twice.
TEST_F(scale_out_requests, are_retried_with_the_same_key_while_no_response_arrives) {
  scale_out.request({{small_pool, 2}});
  send_for(seconds(8));
  ASSERT_GE(cloud_service.calls.size(), 2U);
  EXPECT_EQ(cloud_service.sent_field(1, "ask"), cloud_service.sent_field(0, "ask"));
}

TEST_F(scale_out_requests, are_abandoned_after_eight_attempts_without_a_response) {
  scale_out.request({{small_pool, 2}});
  send_for(seconds(120));
  EXPECT_EQ(cloud_service.calls.size(), 8U);
  EXPECT_TRUE(scale_out.pending_machines().empty());
}

TEST_F(scale_out_requests, mark_pool_without_capacity_as_refused_for_the_backoff) {
  cloud_service.answer = {503, R"({"error":"no capacity"})", std::nullopt, false};
  scale_out.request({{small_pool, 2}});
  net.run_for(seconds(1));
  EXPECT_EQ(scale_out.refused_pools(), std::set<admission::pool>{small_pool});
  net.run_for(refusal_backoff);
  EXPECT_TRUE(scale_out.refused_pools().empty());
}

}  // namespace gingerdrift::testing
