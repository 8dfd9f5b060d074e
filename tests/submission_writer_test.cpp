// Tests which records submission_writer stores for a job, and in which order.
#include "api/submission_writer.hpp"

#include <gtest/gtest.h>

#include "job_builder.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

using outcome = api::submission_writer::outcome;

const kvstore::service_limits small_limits{
    .requests_per_s = 100, .writes_per_s = 50, .value_kb = 2, .txn_operations = 3};
const std::string head_key = "gd/job/run-1";
const std::string final_key = "gd/final/run-1";

/// Returns a list of dependencies that fills six values, more than fit into one transaction.
std::vector<job_id> make_long_dependency_list() {
  std::vector<job_id> names;
  for (std::uint64_t number = 1000; number < 2000; ++number) names.push_back(numbered_job(number));
  return names;
}

class submission_writer_test : public ::testing::Test {
 protected:
  submission_writer_test() {
    state.set_limits(small_limits);
    state.on_change = [this](const std::string& key, const json*) { written_keys.push_back(key); };
  }
  void put(const std::string& key, json value) {
    client.txn({}, {kvstore::operation::put(key, std::move(value))},
               [](const kvstore::result& answer) { ASSERT_TRUE(answer.ok()); });
    net.run_for(seconds(1));
    written_keys.clear();
  }
  /// Writes the job run-1 and returns the outcome, or nothing if the writer did not call back.
  std::optional<outcome> write(const std::vector<job_id>& dependencies) {
    std::optional<outcome> result;
    writer.write(make_job("run-1"), dependencies,
                 [&](outcome write_outcome) { result = write_outcome; });
    net.run_for(seconds(5));
    return result;
  }
  /// Makes the state service answer the next request with 503 and handle the following ones.
  void reject_next_request() {
    rejects_next_request = true;
    net.serve("state", "state:1", [this](const net::request& request, const net::reply_fn& reply) {
      if (!std::exchange(rejects_next_request, false)) return state.handle(request, reply);
      reply({503, "{}", std::nullopt, false});
    });
  }

  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-1"};
  kvstore::client client{runtime, "state:1", small_limits, std::nullopt, kvstore::limit_shares{}};
  api::submission_writer writer{client, small_limits, "node-1"};
  std::vector<std::string> written_keys;  // in the order of the writes
  bool rejects_next_request = false;
};

}  // namespace

TEST_F(submission_writer_test, leaves_an_existing_head_unchanged) {
  put(head_key, {{"first", true}});
  EXPECT_EQ(write({}), outcome::already_accepted);
  EXPECT_EQ(*state.peek(head_key), json({{"first", true}}));
}

TEST_F(submission_writer_test, writes_no_head_if_a_final_record_exists) {
  put(final_key, {{"status", "done"}});
  EXPECT_EQ(write({}), outcome::already_accepted);
  EXPECT_EQ(state.peek(head_key), nullptr);
}

TEST_F(submission_writer_test, stores_a_short_dependency_list_in_the_head) {
  EXPECT_EQ(write({"run-7", "run-8"}), outcome::stored);
  EXPECT_EQ(written_keys, std::vector<std::string>{head_key});
}

// If a head referred to part keys that don't exist, the job would wait forever.
TEST_F(submission_writer_test, stores_a_long_dependency_list_before_the_head) {
  EXPECT_EQ(write(make_long_dependency_list()), outcome::stored);
  EXPECT_EQ(state.refused_for_size(), 0U)
      << "each transaction must respect the limits of the state service";
  ASSERT_EQ(written_keys.size(), 7U)
      << "six parts, the last two in the same transaction as the head";
  EXPECT_EQ(written_keys.back(), head_key);
  EXPECT_TRUE(written_keys.front().starts_with("gd/dependencies/run-1/node-1-"))
      << written_keys.front();
}

TEST_F(submission_writer_test, writes_no_head_if_a_part_of_the_dependency_list_is_not_stored) {
  reject_next_request();
  EXPECT_EQ(write(make_long_dependency_list()), outcome::unreachable);
  EXPECT_EQ(state.peek(head_key), nullptr);
}

}  // namespace gingerdrift::testing
