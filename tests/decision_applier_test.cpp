// A cycle's decisions are checked against the present before they are carried out.
#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class decision_applier_test : public leader_parts {
 protected:
  void start(const std::vector<admission::start_decision>& starts) {
    admission::decisions made;
    made.starts = starts;
    decisions.apply(made);
  }
  void stop(const job_id& job, std::vector<std::uint32_t> tasks, admission::stop_reason reason) {
    admission::decisions made;
    made.stops = {{job, std::move(tasks), reason, "run-9"}};
    decisions.apply(made);
  }
};
}  // namespace

TEST_F(decision_applier_test, places_tasks_with_rising_attempt_numbers) {
  hear("m-1");
  auto& job = add_job("run-1", 2);
  start({{"run-1", 0, "m-1"}, {"run-1", 1, "m-1"}});
  ASSERT_EQ(job.attempts().size(), 2U);
  EXPECT_EQ(job.attempts().at(0).number, attempt_number(1));
  EXPECT_EQ(job.attempts().at(1).number, attempt_number(2));
  EXPECT_EQ(measured.starts, 2U);
}

TEST_F(decision_applier_test, members_of_a_gang_share_their_attempt_number) {
  hear("m-1");
  auto& job = add_job("run-1", 2, true);
  start({{"run-1", 0, "m-1"}, {"run-1", 1, "m-1"}});
  ASSERT_EQ(job.attempts().size(), 2U);
  EXPECT_EQ(job.attempts().at(0).number, job.attempts().at(1).number);
}

TEST_F(decision_applier_test, a_gang_starts_whole_or_not_at_all) {
  hear("m-1");
  auto& gang = add_job("run-1", 2, true);
  auto& array = add_job("run-2", 2);
  start({{"run-1", 0, "m-1"}, {"run-1", 1, "gone"}, {"run-2", 0, "m-1"}, {"run-2", 1, "gone"}});
  EXPECT_TRUE(gang.attempts().empty());
  EXPECT_EQ(array.attempts().size(), 1U);
}

TEST_F(decision_applier_test, starts_nothing_that_is_done_placed_or_cancelled) {
  hear("m-1");
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

TEST_F(decision_applier_test, starts_nothing_on_a_machine_that_goes_back) {
  hear("m-1");
  auto& job = add_job("run-1", 1);
  machines.release("m-1", cloud::release_reason::idle);
  start({{"run-1", 0, "m-1"}});
  EXPECT_TRUE(job.attempts().empty());
}

TEST_F(decision_applier_test, stops_the_tasks_named_or_a_whole_gang) {
  hear("m-1");
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

TEST_F(decision_applier_test, remembers_the_machines_that_jobs_count_on) {
  admission::decisions made;
  made.needed_machines = {"m-1"};
  decisions.apply(made);
  EXPECT_TRUE(decisions.is_expected("m-1"));
  EXPECT_FALSE(decisions.is_expected("m-2"));
}

}  // namespace gingerdrift::testing
