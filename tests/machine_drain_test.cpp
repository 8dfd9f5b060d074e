// Tests which tasks are stopped after the termination notice of a machine.
#include "leader/machine_drain.hpp"

#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class machine_drain_test : public leader_parts {
 protected:
  /// Adds a job whose only task is on machine m-1, and returns its attempt. The task is running
  /// unless another phase is given.
  const job_store::attempt& run_job(
      const job_id& id, duration estimate,
      job_store::attempt_phase phase = job_store::attempt_phase::running) {
    auto spec = spec_of(id, 1);
    spec.estimate = estimate;
    spec.save = seconds(5);
    auto& job = jobs.insert({std::move(spec), 0});
    workers.place(job, 0, "m-1", attempt_number(1));
    job.update_phase(0, phase, net.now());
    return job.attempts().at(0);
  }
  void drain_with_notice(duration termination_notice) {
    workers.find("m-1")->termination_notice = termination_notice;
    drain.drain_machines_with_notice();
  }
  leader::machine_drain drain{runtime, jobs, workers};
};
}  // namespace

TEST_F(machine_drain_test, stops_tasks_that_can_not_finish_in_half_the_announced_time) {
  send_heartbeat("m-1");
  const auto& nearly_done = run_job("run-1", seconds(20));
  const auto& long_running = run_job("run-2", seconds(40));
  drain_with_notice(seconds(60));
  EXPECT_FALSE(nearly_done.stopping);
  EXPECT_TRUE(long_running.stopping);
  EXPECT_EQ(long_running.grace, seconds(7)) << "the time to save plus a margin for message delays";
}

TEST_F(machine_drain_test, stops_all_tasks_when_there_is_hardly_time_to_save) {
  send_heartbeat("m-1");
  const auto& nearly_done = run_job("run-1", seconds(1));
  drain_with_notice(seconds(8));
  EXPECT_TRUE(nearly_done.stopping);
}

TEST_F(machine_drain_test, stops_tasks_that_are_not_running_yet) {
  send_heartbeat("m-1");
  const auto& fetching = run_job("run-1", seconds(1), job_store::attempt_phase::fetching);
  drain_with_notice(seconds(60));
  EXPECT_TRUE(fetching.stopping);
}

TEST_F(machine_drain_test, stops_all_members_of_a_gang) {
  send_heartbeat("m-1");
  send_heartbeat("m-2");
  auto& gang = add_job("run-1", 2, true);
  workers.place(gang, 0, "m-1", attempt_number(1));
  workers.place(gang, 1, "m-2", attempt_number(1));
  drain_with_notice(seconds(60));
  EXPECT_TRUE(gang.attempts().at(1).stopping) << "the member on the other machine";
}

TEST_F(machine_drain_test, stops_no_tasks_on_machines_without_a_notice) {
  send_heartbeat("m-1");
  const auto& attempt = run_job("run-1", seconds(1000));
  drain.drain_machines_with_notice();
  EXPECT_FALSE(attempt.stopping);
}

}  // namespace gingerdrift::testing
