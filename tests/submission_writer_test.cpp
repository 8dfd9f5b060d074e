// How an accepted job comes into the store.
#include "api/submission_writer.hpp"

#include <gtest/gtest.h>

#include "job_builder.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

using outcome = api::submission_writer::outcome;

const kvstore::service_limits narrow{
    .requests_per_s = 100, .writes_per_s = 50, .value_kb = 2, .txn_operations = 3};
const std::string head_key = "gd/job/run-1";
const std::string final_key = "gd/final/run-1";

/// Names for six values, which are more than one transaction holds.
std::vector<job_id> many_dependencies() {
  std::vector<job_id> names;
  for (std::uint64_t number = 1000; number < 2000; ++number) names.push_back(numbered_job(number));
  return names;
}

class submitted_job : public ::testing::Test {
 protected:
  submitted_job() {
    state.set_limits(narrow);
    state.on_change = [this](const std::string& key, const json*) { written.push_back(key); };
  }
  void put(const std::string& key, json value) {
    client.txn({}, {kvstore::operation::put(key, std::move(value))},
               [](const kvstore::result& answer) { ASSERT_TRUE(answer.ok()); });
    net.run_for(seconds(1));
    written.clear();
  }
  /// Writes the job run-1; nothing: it did not call back.
  std::optional<outcome> write(const std::vector<job_id>& dependencies) {
    std::optional<outcome> result;
    writer.write(make_job("run-1"), dependencies, [&](outcome answered) { result = answered; });
    net.run_for(seconds(5));
    return result;
  }
  /// The store refuses the next transaction, and carries out those that follow.
  void refuse_next_transaction() {
    refuses_next = true;
    net.serve("state", "state:1", [this](const net::request& request, const net::reply_fn& reply) {
      if (!std::exchange(refuses_next, false)) return state.handle(request, reply);
      reply({503, "{}", std::nullopt, false});
    });
  }

  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-1"};
  kvstore::client client{runtime, "state:1", narrow, std::nullopt, kvstore::limit_shares{}};
  api::submission_writer writer{client, narrow, "node-1"};
  std::vector<std::string> written;  // keys, in order
  bool refuses_next = false;
};

}  // namespace

TEST_F(submitted_job, leaves_a_head_that_exists_as_it_is) {
  put(head_key, {{"first", true}});
  EXPECT_EQ(write({}), outcome::already_accepted);
  EXPECT_EQ(*state.peek(head_key), json({{"first", true}}));
}

TEST_F(submitted_job, gets_no_head_once_it_has_a_final_record) {
  put(final_key, {{"status", "done"}});
  EXPECT_EQ(write({}), outcome::already_accepted);
  EXPECT_EQ(state.peek(head_key), nullptr);
}

TEST_F(submitted_job, keeps_a_short_list_of_dependencies_in_its_head) {
  EXPECT_EQ(write({"run-7", "run-8"}), outcome::stored);
  EXPECT_EQ(written, std::vector<std::string>{head_key});
}

// A head that names keys which don't exist would leave the job waiting for good.
TEST_F(submitted_job, has_a_long_list_of_dependencies_stored_before_its_head) {
  EXPECT_EQ(write(many_dependencies()), outcome::stored);
  EXPECT_EQ(state.refused_for_size(), 0U) << "each transaction keeps to the store's limits";
  ASSERT_EQ(written.size(), 7U) << "six parts, two of them with the head";
  EXPECT_EQ(written.back(), head_key);
  EXPECT_TRUE(written.front().starts_with("gd/dependencies/run-1/node-1-")) << written.front();
}

TEST_F(submitted_job, gets_no_head_when_a_part_of_its_dependencies_is_not_stored) {
  refuse_next_transaction();
  EXPECT_EQ(write(many_dependencies()), outcome::unreachable);
  EXPECT_EQ(state.peek(head_key), nullptr);
}

}  // namespace gingerdrift::testing
