// A leader's term against the state service alone.
#include <gtest/gtest.h>

#include "daemon/term.hpp"
#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {

class leaders_term : public ::testing::Test {
 protected:
  leaders_term() {
    state.limit(wide);
    platform.cloud = "cloud:1";
    platform.zones = {"a"};
    platform.teams = {{"red", 0, 0, 8, 16}};
    platform.state_limits = wide;
    // Its cache of ends forgets each at once.
    term = std::make_unique<daemon::term>(
        runtime, client, platform, rules, 1, store::condition{"gd/leader", 0},
        std::vector<admission::machine_type>{}, plans, measured,
        daemon::term::hooks{
            [] {}, [] { return true; }, [](const std::string&, const store::stored_end&) {},
            [](const std::string&) -> std::optional<store::stored_end> { return std::nullopt; }});
    term->start();
    net.run_for(seconds(1));
  }
  void accept(const std::string& id, std::vector<std::string> dependencies = {}) {
    store::job one;
    one.spec.id = id;
    one.spec.team = "red";
    one.units.resize(1);
    one.waiting = !dependencies.empty();
    one.dependencies = std::move(dependencies);
    client.txn({}, {{store::head_key(id), store::write_head(one), 0, false}},
               [](const store::result& answer) { ASSERT_TRUE(answer.ok()); });
    net.run_for(milliseconds(20));
  }

  const store::service_limits wide{1000, 500, 8, 24};
  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-0"};
  store::client client{runtime, "state:1", wide, std::nullopt, {1, 1, 1}};
  daemon::platform_settings platform;
  daemon::operator_settings rules;
  inline_planner plans{runtime, admission::policy{}};
  daemon::metrics measured;
  std::unique_ptr<daemon::term> term;
};

}  // namespace

// The head is read twice: once for a hint of its acceptance, and once because another job needs it.
TEST_F(leaders_term, takes_no_head_that_was_read_before_its_job_ended) {
  state.hold_next_answer("/store/gd/job/run-1", milliseconds(1200));
  accept("run-1");
  term->look_up("run-1");
  accept("run-2", {"run-1"});
  term->look_up("run-2");
  net.run_for(milliseconds(400));
  ASSERT_TRUE(term->state_of("run-1").has_value()) << "it came with the job that needs it";
  term->cancel("run-1", [](const std::optional<store::stored_end>&) {});
  net.run_for(milliseconds(400));
  ASSERT_FALSE(term->state_of("run-1").has_value()) << "it is over";
  ASSERT_NE(state.peek("gd/final/run-1"), nullptr);
  for (int step = 0; step < 40; ++step) {
    net.run_for(milliseconds(100));
    EXPECT_FALSE(term->state_of("run-1").has_value()) << "and stays so";
  }
  EXPECT_EQ(state.peek("gd/job/run-1"), nullptr);
}

TEST_F(leaders_term, takes_no_head_that_names_another_job) {
  accept("run-1");
  store::json head = *state.peek("gd/job/run-1");
  head["spec"]["id"] = "run-8";  // which nobody submitted
  client.txn({}, {{"gd/job/run-7", head, 0, false}}, [](const store::result&) {});
  net.run_for(milliseconds(50));
  term->look_up("run-7");
  net.run_for(seconds(2));
  EXPECT_FALSE(term->state_of("run-7").has_value());
  EXPECT_FALSE(term->state_of("run-8").has_value());
  EXPECT_TRUE(term->state_of("run-1").has_value()) << "the watch finds it";
}

}  // namespace gingerdrift::testing
