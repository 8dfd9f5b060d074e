// Tests that the decisions of a cycle are validated against the current state when they are
// applied.
#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class decision_applier_test : public leader_parts {
 protected:
  void start(const std::vector<admission::start_decision>& starts) {
    admission::decisions cycle_decisions;
    cycle_decisions.starts = starts;
    decisions.apply(cycle_decisions);
  }
  void stop(const job_id& job, std::vector<std::uint32_t> tasks, admission::stop_reason reason) {
    admission::decisions cycle_decisions;
    cycle_decisions.stops = {{job, std::move(tasks), reason, "run-9"}};
    decisions.apply(cycle_decisions);
  }
};
}  // namespace

TEST_F(decision_applier_test, places_tasks_with_increasing_attempt_numbers) {
  send_heartbeat("m-1");
  auto& job = add_job("run-1", 2);
  start({{"run-1", 0, "m-1"}, {"run-1", 1, "m-1"}});
  ASSERT_EQ(job.attempts().size(), 2U);
  EXPECT_EQ(job.attempts().at(0).number, attempt_number(1));
  EXPECT_EQ(job.attempts().at(1).number, attempt_number(2));
  EXPECT_EQ(measured.starts, 2U);
}

TEST_F(decision_applier_test, members_of_a_gang_share_their_attempt_number) {
  send_heartbeat("m-1");
  auto& job = add_job("run-1", 2, true);
  start({{"run-1", 0, "m-1"}, {"run-1", 1, "m-1"}});
  ASSERT_EQ(job.attempts().size(), 2U);
  EXPECT_EQ(job.attempts().at(0).number, job.attempts().at(1).number);
}

TEST_F(decision_applier_test, starts_all_members_of_a_gang_or_none) {
  send_heartbeat("m-1");
  auto& gang = add_job("run-1", 2, true);
  auto& array = add_job("run-2", 2);
  start({{"run-1", 0, "m-1"}, {"run-1", 1, "gone"}, {"run-2", 0, "m-1"}, {"run-2", 1, "gone"}});
  EXPECT_TRUE(gang.attempts().empty());
  EXPECT_EQ(array.attempts().size(), 1U);
}

TEST_F(decision_applier_test, starts_no_task_that_is_done_placed_or_cancelled) {
  send_heartbeat("m-1");
  auto& job = add_job("run-1", 3);
  job.finish_task(0);
  start({{"run-1", 1, "m-1"}});
  start({{"run-1", 0, "m-1"}, {"run-1", 1, "m-1"}});
  EXPECT_EQ(job.attempts().size(), 1U);
  EXPECT_EQ(job.attempts().at(1).number, attempt_number(1));
  job.cancel();
  start({{"run-1", 2, "m-1"}});
  EXPECT_EQ(job.attempts().size(), 1U);
}

TEST_F(decision_applier_test, starts_no_task_on_a_machine_being_released) {
  send_heartbeat("m-1");
  auto& job = add_job("run-1", 1);
  machines.release("m-1", cloud::release_reason::idle);
  start({{"run-1", 0, "m-1"}});
  EXPECT_TRUE(job.attempts().empty());
}

TEST_F(decision_applier_test, stops_the_given_tasks_or_the_whole_gang) {
  send_heartbeat("m-1");
  auto& array = add_job("run-1", 2);
  auto& gang = add_job("run-2", 2, true);
  start({{"run-1", 0, "m-1"}, {"run-1", 1, "m-1"}, {"run-2", 0, "m-1"}, {"run-2", 1, "m-1"}});
  stop("run-1", {0}, admission::stop_reason::preempted);
  stop("run-2", {0}, admission::stop_reason::upgraded);
  EXPECT_TRUE(array.attempts().at(0).stopping);
  EXPECT_FALSE(array.attempts().at(1).stopping);
  ASSERT_EQ(gang.attempts().size(), 2U);
  for (const auto& [task, attempt] : gang.attempts()) EXPECT_TRUE(attempt.stopping) << task;
  EXPECT_EQ(measured.preemptions, 1U);
  EXPECT_EQ(measured.upgrades, 1U);
}

TEST_F(decision_applier_test, reports_the_machines_that_jobs_wait_for) {
  admission::decisions cycle_decisions;
  cycle_decisions.needed_machines = {"m-1"};
  decisions.apply(cycle_decisions);
  EXPECT_TRUE(decisions.is_awaited("m-1"));
  EXPECT_FALSE(decisions.is_awaited("m-2"));
}

}  // namespace gingerdrift::testing
