#include "admission/victims.hpp"

#include <gtest/gtest.h>

#include "support/admission_builders.hpp"

namespace gingerdrift::testing {

using admission::make_victim;

namespace {

constexpr time_point now{seconds(1000)};

/// Returns a job whose two tasks use one GPU each and have run for `ran`.
admission::job_view job_that_ran(duration ran, bool gang) {
  auto job = make_job("job");
  job.gang = gang;
  job.estimate = seconds(3600);
  job.placed = {make_running_task(0, "m1", now - ran), make_running_task(1, "m2", now - ran)};
  return job;
}

double cost_of(const admission::job_view& job) { return make_victim(job, {0, 0}, now).cost; }

}  // namespace

TEST(victims, a_task_without_checkpoints_costs_its_whole_run_time) {
  const auto job = job_that_ran(seconds(100), /*gang=*/false);
  EXPECT_DOUBLE_EQ(cost_of(job), 5 + 100);
}

TEST(victims, a_task_with_checkpoints_costs_its_saving_time_and_a_small_share_of_its_run_time) {
  auto job = job_that_ran(seconds(100), /*gang=*/false);
  job.checkpoint = seconds(30);
  job.save = seconds(3);
  EXPECT_DOUBLE_EQ(cost_of(job), 5 + 3 + 2);
}

TEST(victims, a_gang_costs_the_sum_of_its_tasks) {
  const auto job = job_that_ran(seconds(100), /*gang=*/true);
  EXPECT_DOUBLE_EQ(cost_of(job), 2 * (20 + 100));
  EXPECT_EQ(admission::tasks_stopped_together(job), 2U);
  EXPECT_DOUBLE_EQ(admission::freed_by_stopping(job).gpus, 2);
}

TEST(victims, a_gang_that_has_just_started_costs_more) {
  auto just_started = job_that_ran(seconds(1), /*gang=*/true);
  auto running = job_that_ran(seconds(200), /*gang=*/true);
  for (auto* job : {&just_started, &running}) {
    job->checkpoint = seconds(30);
    job->save = seconds(3);
  }
  EXPECT_GT(cost_of(just_started), cost_of(running));
}

TEST(victims, a_gang_about_to_end_costs_more) {
  auto job = job_that_ran(seconds(100), /*gang=*/true);
  job.estimate = seconds(110);
  EXPECT_DOUBLE_EQ(cost_of(job), 2 * (20 + 100 + 20));
}

TEST(victims, a_task_that_does_not_run_yet_costs_its_restart) {
  auto job = job_that_ran(seconds(0), /*gang=*/false);
  job.placed[0].running = false;
  EXPECT_DOUBLE_EQ(cost_of(job), 5);
  job.gang = true;
  EXPECT_DOUBLE_EQ(cost_of(job), 2 * (20 + 30));
}

}  // namespace gingerdrift::testing
