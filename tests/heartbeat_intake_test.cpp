// When a worker's heartbeat is answered.
#include "leader/heartbeat_intake.hpp"

#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class heartbeat_intake_test : public leader_parts {
 protected:
  heartbeat_intake_test() {
    on_cycle_finished = [this] { intake->answer_held_heartbeats(); };
  }
  /// A heartbeat that lists a task of a job nobody knows.
  workers::worker_heartbeat heartbeat_with_running_task(const machine_name& machine) {
    auto out = heartbeat(machine);
    out.tasks = {{"run-9", 0, attempt_number(1), job_store::attempt_phase::running,
                  workers::exit_cause::none}};
    return out;
  }
  /// A heartbeat after which the machine has a place less in use: its only task is done.
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

TEST_F(heartbeat_intake_test, an_ordinary_heartbeat_is_answered_at_once) {
  EXPECT_FALSE(intake->has_received_heartbeat());
  net.run_for(seconds(1));
  receive(heartbeat("m-1"));
  ASSERT_EQ(answers.size(), 1U);
  ASSERT_TRUE(answers[0].has_value());
  EXPECT_FALSE(answers[0]->empty());
  EXPECT_TRUE(intake->has_received_heartbeat());
  EXPECT_EQ(intake->last_heartbeat(), net.now());
}

// Guards against: successors that had read nothing renewed the leases of cancelled tasks.
TEST_F(heartbeat_intake_test, before_recovery_a_worker_with_tasks_waits_and_is_sent_on) {
  recovered = false;
  receive(heartbeat_with_running_task("m-1"));
  net.run_for(milliseconds(990));
  EXPECT_TRUE(answers.empty());
  net.run_for(milliseconds(20));
  EXPECT_EQ(answers, answer_list{std::nullopt});
}

TEST_F(heartbeat_intake_test, recovery_answers_the_workers_that_wait) {
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

TEST_F(heartbeat_intake_test, before_recovery_only_so_many_workers_wait) {
  recovered = false;
  for (const machine_name& name : std::vector<machine_name>{"m-1", "m-2", "m-3"})
    receive(heartbeat_with_running_task(name));
  EXPECT_EQ(answers, answer_list{std::nullopt}) << "the third is sent on";
}

TEST_F(heartbeat_intake_test, a_worker_without_tasks_does_not_wait_for_recovery) {
  recovered = false;
  receive(heartbeat("m-1"));
  EXPECT_EQ(answers.size(), 1U);
}

TEST_F(heartbeat_intake_test, a_heartbeat_that_frees_a_place_waits_for_the_next_cycle) {
  receive(freeing_heartbeat());
  EXPECT_TRUE(answers.empty());
  loop.request_cycle();
  net.run_for(milliseconds(50));
  EXPECT_EQ(answers.size(), 1U);
}

TEST_F(heartbeat_intake_test, it_waits_for_a_short_time_only) {
  receive(freeing_heartbeat());
  net.run_for(milliseconds(390));
  EXPECT_TRUE(answers.empty());
  net.run_for(milliseconds(20));
  EXPECT_EQ(answers.size(), 1U);
}

TEST_F(heartbeat_intake_test, without_a_lease_nothing_is_held_back) {
  auto freeing = freeing_heartbeat();
  lease_valid = false;
  receive(std::move(freeing));
  EXPECT_EQ(answers.size(), 1U);
}

TEST_F(heartbeat_intake_test, the_end_of_a_term_sends_waiting_workers_on) {
  receive(freeing_heartbeat());
  recovered = false;
  receive(heartbeat_with_running_task("m-2"));
  intake.reset();
  EXPECT_EQ(answers, (answer_list{std::nullopt, std::nullopt}));
}

}  // namespace gingerdrift::testing
