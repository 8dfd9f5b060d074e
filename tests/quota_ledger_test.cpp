#include "admission/quota_ledger.hpp"

#include <gtest/gtest.h>

#include "support/admission_builders.hpp"

namespace gingerdrift::testing {

using admission::quota_ledger;
using admission::team_view;

namespace {

team_view team_with(double gpus, double gpus_max) { return {"red", 0, 0, gpus, gpus_max}; }

admission::job_view job_with_placed_tasks(std::size_t count) {
  auto job = make_job("job");
  for (std::uint32_t task = 0; task < count; ++task)
    job.placed.push_back(make_running_task(task, "m1", time_point(seconds(900))));
  return job;
}

}  // namespace

TEST(quota_ledger, a_limit_counts_stopping_tasks_until_they_have_ended) {
  const std::vector<team_view> teams{team_with(0, 4)};
  quota_ledger ledger(teams);
  const auto job = job_with_placed_tasks(4);
  ledger.add_placed(job, /*not_stopping=*/0);
  EXPECT_FALSE(ledger.limit_allows(job, 1)) << "all four tasks still occupy their machines";
}

TEST(quota_ledger, a_limit_counts_tasks_that_await_a_preemption) {
  const std::vector<team_view> teams{team_with(0, 4)};
  quota_ledger ledger(teams);
  const auto job = make_job("job");
  ledger.add_tasks_awaiting_preemption(job, 3);
  EXPECT_TRUE(ledger.limit_allows(job, 1));
  EXPECT_FALSE(ledger.limit_allows(job, 2));
}

TEST(quota_ledger, decimal_requests_can_reach_the_limit_exactly) {
  const std::vector<team_view> teams{team_with(0, 0.3)};
  quota_ledger ledger(teams);
  auto job = make_job("job");
  job.need = {0, 0.1, 0};
  ledger.add_started_task(job);
  ledger.add_started_task(job);
  EXPECT_TRUE(ledger.limit_allows(job, 1)) << "0.1 + 0.1 + 0.1 is more than 0.3 in binary";
  EXPECT_FALSE(ledger.limit_allows(job, 2));
}

TEST(quota_ledger, a_guarantee_counts_only_tasks_that_are_not_stopping) {
  const std::vector<team_view> teams{team_with(4, 0)};
  quota_ledger ledger(teams);
  const auto job = job_with_placed_tasks(5);
  ledger.add_placed(job, /*not_stopping=*/3);
  EXPECT_TRUE(ledger.within_guarantee(job, 1));
  EXPECT_FALSE(ledger.within_guarantee(job, 2));
  EXPECT_TRUE(ledger.exceeds_guarantee(job.team)) << "all five tasks still occupy their machines";
}

TEST(quota_ledger, a_team_without_guarantee_is_neither_within_nor_beyond_it) {
  const std::vector<team_view> teams{team_with(0, 0)};
  quota_ledger ledger(teams);
  const auto job = make_job("job");
  ledger.add_started_task(job);
  EXPECT_FALSE(ledger.within_guarantee(job, 1));
  EXPECT_FALSE(ledger.exceeds_guarantee(job.team));
  EXPECT_TRUE(ledger.is_borrowed(job.team, job.need, job.need));
}

TEST(quota_ledger, only_an_amount_entirely_beyond_the_guarantee_is_borrowed) {
  const std::vector<team_view> teams{team_with(8, 0)};
  const quota_ledger ledger(teams);
  const admission::resources usage{0, 12, 0};
  EXPECT_TRUE(ledger.is_borrowed(0, {0, 4, 0}, usage));
  EXPECT_FALSE(ledger.is_borrowed(0, {0, 5, 0}, usage));
}

}  // namespace gingerdrift::testing
