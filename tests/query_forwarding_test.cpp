// Tests how queries for the states of jobs are forwarded to the leader, one by one or in batches.
#include <gtest/gtest.h>

#include "api/http_api.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

constexpr std::size_t concurrent_requests = 4;
constexpr int not_answered = 0;

/// A controller whose requests to the leader the test answers, and which leads while `memory` has a
/// state.
class scripted_node : public ::testing::Test, protected api::node_services {
 protected:
  /// A request to the leader that was not answered yet.
  struct forwarded_request {
    net::request message;
    net::reply_fn reply;
  };

  bool is_leader() const override { return memory.has_value(); }
  std::optional<job_store::job_state> state_of(const job_id&) override { return memory; }
  void cancel(const job_id&, cancelled_fn done) override { done(std::nullopt); }
  void notify_leader_of_job(const job_id&) override {}
  void forward_to_leader(const net::request& message, net::reply_fn done) override {
    requests.push_back({message, std::move(done)});
  }
  void forward_to_peer_with_store(const net::request&, net::reply_fn done) override { done({}); }
  bool healthy() const override { return true; }
  bool store_reachable() const override { return true; }
  const std::vector<admission::machine_type>& machine_types() const override { return types; }
  std::string status() override { return "{}"; }
  bool dependencies_supported() const override { return true; }

  /// Forwards queries for `count` jobs and records the status of each answer in `statuses`.
  void forward(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const job_id job("run-" + std::to_string(forwarded++));
      forwarder.forward(job, [this, job](const net::response& response, duration) {
        statuses[job.str()] = response.status;
        bodies[job.str()] = response.body;
      });
    }
  }
  void answer(std::size_t request, int status, std::string body = {}) {
    requests.at(request).reply({status, std::move(body), std::nullopt, false});
  }

  sim_net net{1};
  sim_runtime runtime{net, "node-1"};
  std::vector<forwarded_request> requests;
  std::map<std::string, int> statuses;
  std::map<std::string, std::string> bodies;
  std::size_t forwarded = 0;
  std::optional<job_store::job_state> memory;
  std::vector<admission::machine_type> types;
  api::leader_query_forwarder forwarder{runtime, *this};
};

using leader_query_forwarder_test = scripted_node;

}  // namespace

TEST_F(leader_query_forwarder_test, queries_that_wait_for_a_response_share_the_next_request) {
  forward(concurrent_requests + 3);
  ASSERT_EQ(requests.size(), concurrent_requests);
  EXPECT_EQ(requests.front().message.target, "/work/run-0");

  answer(0, 200, "{}");

  ASSERT_EQ(requests.size(), concurrent_requests + 1);
  EXPECT_EQ(requests.back().message.target, api::query_batch_target);
  const auto jobs = api::decode_query_batch(requests.back().message.body);
  EXPECT_EQ(jobs, (std::vector<job_id>{job_id("run-4"), job_id("run-5"), job_id("run-6")}));
  answer(concurrent_requests, 200, api::encode_query_answers({{200, "a"}, {503, ""}, {200, "c"}}));
  EXPECT_EQ(statuses.at("run-5"), 503);
  EXPECT_EQ(bodies.at("run-6"), "c");
}

TEST_F(leader_query_forwarder_test, a_leader_without_batches_is_asked_for_each_job) {
  forward(concurrent_requests + 2);
  answer(0, 200, "{}");
  answer(concurrent_requests, 404);

  ASSERT_EQ(requests.size(), concurrent_requests + 3);
  EXPECT_EQ(requests.back().message.target, "/work/run-5");
  forward(10);
  EXPECT_EQ(requests.size(), concurrent_requests + 13) << "no query waits for a batch";
}

TEST_F(leader_query_forwarder_test, a_malformed_batch_response_answers_no_query) {
  forward(concurrent_requests + 2);
  answer(0, 200, "{}");
  answer(concurrent_requests, 200, api::encode_query_answers({{200, "only one"}}));
  EXPECT_EQ(statuses.at("run-4"), 503);
  EXPECT_EQ(statuses.at("run-5"), 503);
}

TEST_F(leader_query_forwarder_test, queries_that_waited_too_long_are_not_sent) {
  forward(concurrent_requests + 1);
  net.run_for(seconds(1));
  answer(0, not_answered);
  EXPECT_EQ(requests.size(), concurrent_requests);
  EXPECT_EQ(statuses.at("run-4"), not_answered);
}

TEST_F(scripted_node, a_leader_answers_a_batch_from_its_memory_and_only_to_controllers) {
  state_service state(net, "state:1");
  kvstore::client client(runtime, "state:1", {}, std::nullopt, {});
  api::node_services& services = *this;
  api::http_api users(runtime, client, {}, {}, services);
  const net::request batch{"POST", api::query_batch_target,
                           api::encode_query_batch({job_id("run-1"), job_id("run-2")})};
  net::response received;
  const auto record = [&received](const net::response& response) { received = response; };

  memory = job_store::in_progress{1, 2};
  users.handle(batch, true, record);
  const auto answers = api::decode_query_answers(received.body, 2);
  ASSERT_TRUE(answers);
  EXPECT_EQ(json::parse(answers->at(1).body)["running"], 2);

  memory = job_store::indeterminate{};
  users.handle(batch, true, record);
  EXPECT_EQ(api::decode_query_answers(received.body, 2)->at(0).status, 503);

  users.handle({"POST", api::query_batch_target, "no msgpack array"}, true, record);
  EXPECT_EQ(received.status, 400);
  memory.reset();
  users.handle(batch, true, record);
  EXPECT_EQ(received.status, 503) << "it does not lead";
  users.handle(batch, false, record);
  EXPECT_EQ(received.status, 404) << "the request came from a user";
}

TEST_F(scripted_node, a_response_after_its_user_stopped_to_wait_is_counted) {
  state_service state(net, "state:1");
  kvstore::client client(runtime, "state:1", {}, std::nullopt, {});
  api::node_services& services = *this;
  api::http_api users(runtime, client, {}, {}, services);
  const auto query = [&users](const char* target) {
    users.handle({"GET", target, ""}, false, [](const net::response&) {});
  };
  query("/work/run-1");
  query("/work/run-2");
  net.run_for(seconds(1));
  answer(0, 200, "{}");
  EXPECT_EQ(users.statistics().late_responses, 0U);
  net.run_for(milliseconds(1001));
  answer(1, 200, "{}");
  net.run_for(seconds(1));
  EXPECT_EQ(users.statistics().late_responses, 1U);
}

}  // namespace gingerdrift::testing
