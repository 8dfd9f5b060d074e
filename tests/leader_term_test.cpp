// Tests a term of leadership against the simulated state service, without machines.
#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "api/responses.hpp"
#include "leader/leader_term.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

/// Returns no decisions and keeps the snapshot of the last scheduling cycle.
class idle_executor final : public leader::scheduling_executor {
 public:
  explicit idle_executor(net::runtime& runtime) : runtime_(runtime) {}
  void run_cycle(fencing_token, admission::snapshot snapshot, leader::decisions_fn done) override {
    last = std::move(snapshot);
    runtime_.after(milliseconds(2),
                   [done = std::move(done)] { done(admission::decisions{}, milliseconds(2)); });
  }
  admission::snapshot last;

 private:
  net::runtime& runtime_;
};

/// Fixture with a term that has read an empty store. Its cache of terminal states is always empty.
class leader_term_test : public ::testing::Test {
 protected:
  leader_term_test() {
    state.set_limits(wide_limits);
    platform.cloud = "cloud:1";
    platform.zones = {"a"};
    platform.teams = {{.name = "red", .gpus = 8, .gpus_max = 16}};
    platform.state_limits = wide_limits;
    term = std::make_unique<leader::leader_term>(
        leader::term_environment{.runtime = runtime,
                                 .store = client,
                                 .executor = executor,
                                 .platform = platform,
                                 .operator_settings = operator_settings,
                                 .controller_metrics = measured},
        fencing_token(1), kvstore::condition{"gd/leader", {}}, types(), callbacks());
    term->start();
    net.run_for(seconds(1));
  }
  static leader::leader_term::callbacks callbacks() {
    return {.deposed = [] {},
            .lease_valid = [] { return true; },
            .finished = [](const job_id&, const job_store::terminal_state&) {},
            .cached_terminal_state = [](const job_id&) -> std::optional<job_store::terminal_state> {
              return std::nullopt;
            }};
  }
  static std::vector<admission::machine_type> types() {
    admission::machine_type type;
    type.name = "g8";
    type.size = {64, 8, 256};
    type.zones = {"a"};
    return {type};
  }
  void store_record(const std::string& key, const kvstore::json& value) {
    client.txn({}, {{key, value, 0, false}}, [](const kvstore::result&) {});
    net.run_for(milliseconds(20));
  }
  /// Returns the jobs in the snapshot of the last scheduling cycle.
  std::set<job_id> scheduled_jobs() const {
    std::set<job_id> ids;
    for (const auto& job : executor.last.jobs) ids.insert(job->id);
    return ids;
  }
  /// Stores a job in the way another controller does when it accepts the job.
  void accept(const job_id& id, std::vector<job_id> dependencies = {},
              admission::priority priority = admission::priority::low) {
    job_store::job_spec spec;
    spec.level = priority;
    spec.id = id;
    spec.team = "red";
    job_store::job job(std::move(spec), 0);
    if (!dependencies.empty()) job.wait_for(std::move(dependencies));
    client.txn({}, {{job_store::head_key(id), job_store::encode_head(job), 0, false}},
               [](const kvstore::result& answer) { ASSERT_TRUE(answer.ok()); });
    net.run_for(milliseconds(20));
  }
  void cancel(const job_id& id) {
    term->cancel(id, [](const std::optional<job_store::terminal_state>&) {});
  }

  const kvstore::service_limits wide_limits{1000, 500, 8, 24};
  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-0"};
  kvstore::client client{runtime, "state:1", wide_limits, std::nullopt, {1, 1, 1}};
  config::platform_settings platform;
  config::operator_settings operator_settings;
  idle_executor executor{runtime};
  metrics measured;
  std::unique_ptr<leader::leader_term> term;
};

}  // namespace

// The head is read twice: once because the job was announced, and once because another job depends
// on it. The answer to the first read is delayed until the job has ended.
TEST_F(leader_term_test, ignores_a_head_that_was_read_before_its_job_ended) {
  state.hold_next_answer("/store/gd/job/run-1", milliseconds(1200));
  accept("run-1");
  term->fetch_job("run-1");
  accept("run-2", {"run-1"});
  term->fetch_job("run-2");
  net.run_for(milliseconds(400));
  ASSERT_TRUE(term->state_of("run-1").has_value())
      << "it was loaded for the job that depends on it";
  cancel("run-1");
  net.run_for(milliseconds(400));
  ASSERT_FALSE(term->state_of("run-1").has_value()) << "it has ended";
  ASSERT_NE(state.peek("gd/final/run-1"), nullptr);
  for (int step = 0; step < 40; ++step) {
    net.run_for(milliseconds(100));
    EXPECT_FALSE(term->state_of("run-1").has_value()) << "it is not loaded again";
  }
  EXPECT_EQ(state.peek("gd/job/run-1"), nullptr);
}

TEST_F(leader_term_test, ignores_a_head_that_names_another_job) {
  accept("run-1");
  kvstore::json head = *state.peek("gd/job/run-1");
  head["spec"]["id"] = "run-8";  // a job that was never submitted
  client.txn({}, {{"gd/job/run-7", head, 0, false}}, [](const kvstore::result&) {});
  net.run_for(milliseconds(50));
  term->fetch_job("run-7");
  net.run_for(seconds(2));
  EXPECT_FALSE(term->state_of("run-7").has_value());
  EXPECT_FALSE(term->state_of("run-8").has_value());
  EXPECT_TRUE(term->state_of("run-1").has_value()) << "the watch finds it";
}

// A job that waits for its dependencies must not occupy anything. A cycle whose snapshot does not
// contain the job assigns it no quota or capacity, rents no machines for it, and does not count it
// among the jobs that wait for a pool.
TEST_F(leader_term_test,
       keeps_waiting_jobs_out_of_scheduling_and_raises_the_priority_of_their_dependencies) {
  accept("run-1");
  accept("run-2", {"run-1"});
  accept("run-3", {"run-2"}, admission::priority::high);
  for (const job_id& id : std::vector<job_id>{"run-1", "run-2", "run-3"}) term->fetch_job(id);
  net.run_for(seconds(1));
  EXPECT_EQ(scheduled_jobs(), std::set<job_id>({"run-1"}));
  EXPECT_EQ(executor.last.jobs.front()->level, admission::priority::high)
      << "inherited through both dependencies";
  const auto state_of_waiting = *term->state_of("run-2");
  EXPECT_EQ(api::state_name(state_of_waiting), std::string("pending"));
  cancel("run-3");
  net.run_for(seconds(1));
  EXPECT_EQ(executor.last.jobs.front()->level, admission::priority::low)
      << "no urgent job depends on it any more";
}

// The age of a job starts when its last dependency is done; its deadline is relative to its
// submission.
TEST_F(leader_term_test, counts_the_age_of_a_job_from_when_it_became_ready) {
  store_record("gd/final/run-1", {{"status", "done"}, {"done", 1}});
  net.run_for(seconds(30));
  const auto ready_at =
      std::chrono::duration_cast<milliseconds>(runtime.wall_now().time_since_epoch());
  accept("run-2", {"run-1"});
  term->fetch_job("run-2");
  net.run_for(seconds(1));
  ASSERT_EQ(scheduled_jobs(), std::set<job_id>({"run-2"}));
  EXPECT_GE(executor.last.jobs.front()->created_ms, ready_at.count());
  net.run_for(seconds(5));
  const kvstore::json* head = state.peek("gd/job/run-2");
  ASSERT_NE(head, nullptr);
  EXPECT_EQ(head->at("created"), 0) << "the time of submission is kept";
  EXPECT_EQ(head->at("ready"), executor.last.jobs.front()->created_ms)
      << "stored for later leaders";
}

}  // namespace gingerdrift::testing
