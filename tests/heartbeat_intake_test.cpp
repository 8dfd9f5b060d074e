// Tests when a worker's heartbeat is answered.
#include "leader/heartbeat_intake.hpp"

#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class heartbeat_intake_test : public leader_parts {
 protected:
  heartbeat_intake_test() {
    on_cycle_finished = [this] { intake->answer_held_heartbeats(); };
  }
  /// Returns a heartbeat that lists a running task of a job that is not in the job table.
  workers::worker_heartbeat heartbeat_with_running_task(const machine_name& machine) {
    auto out = heartbeat(machine);
    out.tasks = {{"run-9", 0, attempt_number(1), job_store::attempt_phase::running,
                  workers::exit_cause::none}};
    return out;
  }
  /// Returns a heartbeat that frees capacity, because it reports that the machine's only task is
  /// done.
  workers::worker_heartbeat freeing_heartbeat() {
    send_heartbeat("m-1");
    auto& job = add_job("run-1", 1);
    workers.place(job, 0, "m-1", attempt_number(1));
    auto attempt = job.attempts().at(0);
    attempt.incarnation = worker_incarnation(1);
    job.restore_attempt(0, attempt);
    auto out = heartbeat("m-1");
    out.tasks = {{"run-1", 0, attempt_number(1), job_store::attempt_phase::exited,
                  workers::exit_cause::done}};
    return out;
  }
  void receive(workers::worker_heartbeat heartbeat) {
    intake->receive(std::move(heartbeat), [this](std::optional<std::string> answer) {
      answers.push_back(std::move(answer));
    });
  }
  static constexpr std::size_t max_early_heartbeats = 2;
  using answer_list = std::vector<std::optional<std::string>>;
  answer_list answers;
  leader::machine_drain drain{runtime, jobs, workers};
  std::unique_ptr<leader::heartbeat_intake> intake = std::make_unique<leader::heartbeat_intake>(
      context, drain, loop, max_early_heartbeats,
      leader::heartbeat_intake::callbacks{.lease_valid = [this] { return lease_valid; },
                                          .is_recovered = [this] { return recovered; }});
};
}  // namespace

TEST_F(heartbeat_intake_test, a_heartbeat_that_frees_nothing_is_answered_immediately) {
  EXPECT_FALSE(intake->has_received_heartbeat());
  net.run_for(seconds(1));
  receive(heartbeat("m-1"));
  ASSERT_EQ(answers.size(), 1U);
  ASSERT_TRUE(answers[0].has_value());
  EXPECT_FALSE(answers[0]->empty());
  EXPECT_TRUE(intake->has_received_heartbeat());
  EXPECT_EQ(intake->last_heartbeat(), net.now());
}

// Guards against this failure: new leaders that had not read the records yet answered heartbeats
// and thereby renewed the leases of cancelled tasks.
TEST_F(heartbeat_intake_test, before_recovery_a_worker_with_tasks_waits_and_is_then_redirected) {
  recovered = false;
  receive(heartbeat_with_running_task("m-1"));
  net.run_for(milliseconds(990));
  EXPECT_TRUE(answers.empty());
  net.run_for(milliseconds(20));
  EXPECT_EQ(answers, answer_list{std::nullopt});
}

TEST_F(heartbeat_intake_test, waiting_workers_are_answered_after_recovery) {
  recovered = false;
  receive(heartbeat_with_running_task("m-1"));
  net.run_for(milliseconds(500));
  recovered = true;
  intake->process_early_heartbeats();
  ASSERT_EQ(answers.size(), 1U);
  ASSERT_TRUE(answers[0].has_value());
  EXPECT_FALSE(answers[0]->empty());
  net.run_for(seconds(2));
  EXPECT_EQ(answers.size(), 1U);
}

TEST_F(heartbeat_intake_test, before_recovery_the_number_of_waiting_workers_is_limited) {
  recovered = false;
  for (const machine_name& name : std::vector<machine_name>{"m-1", "m-2", "m-3"})
    receive(heartbeat_with_running_task(name));
  EXPECT_EQ(answers, answer_list{std::nullopt}) << "the third worker is redirected";
}

TEST_F(heartbeat_intake_test, a_worker_without_tasks_does_not_wait_for_recovery) {
  recovered = false;
  receive(heartbeat("m-1"));
  EXPECT_EQ(answers.size(), 1U);
}

TEST_F(heartbeat_intake_test, a_heartbeat_that_frees_capacity_is_answered_after_the_next_cycle) {
  receive(freeing_heartbeat());
  EXPECT_TRUE(answers.empty());
  loop.request_cycle();
  net.run_for(milliseconds(50));
  EXPECT_EQ(answers.size(), 1U);
}

TEST_F(heartbeat_intake_test, a_held_answer_is_sent_after_its_deadline_without_a_cycle) {
  receive(freeing_heartbeat());
  net.run_for(milliseconds(390));
  EXPECT_TRUE(answers.empty());
  net.run_for(milliseconds(20));
  EXPECT_EQ(answers.size(), 1U);
}

TEST_F(heartbeat_intake_test, no_answer_is_held_without_a_valid_leader_lease) {
  auto freeing = freeing_heartbeat();
  lease_valid = false;
  receive(std::move(freeing));
  EXPECT_EQ(answers.size(), 1U);
}

TEST_F(heartbeat_intake_test, waiting_workers_are_redirected_at_the_end_of_the_term) {
  receive(freeing_heartbeat());
  recovered = false;
  receive(heartbeat_with_running_task("m-2"));
  intake.reset();
  EXPECT_EQ(answers, (answer_list{std::nullopt, std::nullopt}));
}

}  // namespace gingerdrift::testing
