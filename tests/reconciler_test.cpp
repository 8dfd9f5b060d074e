// Tests which observations prove that a task is gone, and which machines accept tasks.
#include "workers/reconciler.hpp"

#include <gtest/gtest.h>

#include "support/state_service.hpp"

namespace gingerdrift::testing {

using job_store::attempt_phase;
using workers::exit_cause;

namespace {

constexpr fencing_token current_token(7);
constexpr fencing_token previous_token(6);
const job_id first_job("run-1");
const machine_name machine("m");
constexpr std::uint64_t incarnation = 3;
constexpr std::uint64_t next_incarnation = 4;

bool contains(const std::string& text, const char* part) {
  return text.find(part) != std::string::npos;
}
bool has_command(const std::string& answer) { return contains(answer, "\"verb\""); }
bool has_start(const std::string& answer) { return contains(answer, "\"run\""); }
bool acknowledges_exit(const std::string& answer) { return contains(answer, "reap"); }

/// Status of task 0 of the first job in a heartbeat.
workers::task_status task_status(attempt_phase phase, exit_cause cause = exit_cause::none) {
  return {first_job, 0, attempt_number(1), phase, cause};
}

workers::worker_heartbeat heartbeat(std::uint64_t worker_incarnation_number, std::uint64_t sequence,
                                    fencing_token token) {
  workers::worker_heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.address = "m:9";
  heartbeat.pool = {"g8", "a", false};
  heartbeat.incarnation = worker_incarnation(worker_incarnation_number);
  heartbeat.sequence = sequence;
  heartbeat.token = token;
  return heartbeat;
}

/// A heartbeat with the current token that lists task 0 as running.
workers::worker_heartbeat running_heartbeat(std::uint64_t sequence) {
  auto listing = heartbeat(incarnation, sequence, current_token);
  listing.tasks = {task_status(attempt_phase::running)};
  return listing;
}

/// Fixture with a leader's reconciler and one stored attempt of task 0 of the first job.
class reconciler : public ::testing::Test {
 protected:
  reconciler()
      : state(net, "state:1"),
        runtime(net, "node-0"),
        client(runtime, "state:1", limits, std::nullopt, {1, 1, 0.5}),
        jobs(runtime, client, {"gd/leader", {}}, limits,
             {.stored = [](const job_id&) {},
              .finalized = [](const job_id&, const job_store::terminal_state&) {},
              .committed = [] {},
              .deposed = [] {},
              .may_write = [this] { return lease_valid; }}),
        under_test(runtime, jobs, settings(), current_token, hooks()) {
    job_store::job_spec spec;
    spec.id = first_job;
    spec.team = "red";
    spec.tasks = 3;
    job_store::job job(std::move(spec), 0);
    job.mark_stored(0, job.head().latest_change);
    job_store::attempt attempt;
    attempt.number = attempt_number(1);
    attempt.machine = machine;
    attempt.incarnation = worker_incarnation(incarnation);
    attempt.phase = attempt_phase::sent;
    job.restore_attempt(0, attempt);
    under_test.adopt(jobs.insert(job));
    under_test.start_reconciling();
  }
  static workers::reconciler_options settings() {
    return {.heartbeat_interval = seconds(1),
            .worker_lease = seconds(6),
            .renewal_grace = seconds(5),
            .quarantine_after_failed_jobs = 2,
            .failing_job_backoff = seconds(10)};
  }
  workers::reconciler::hooks hooks() {
    return {.lease_valid = [this] { return lease_valid; },
            .changed = [] {},
            .cache_gb = [](const std::string&) { return 50.0; },
            .rented_in_term = [this](const machine_name&) { return rented_in_term; }};
  }
  job_store::job& job() { return *jobs.find(first_job); }
  bool holds_first_attempt() { return job().attempts().count(0) != 0; }
  bool accepts_tasks() { return under_test.accepts_tasks(*under_test.find(machine)); }
  /// Places task 1 on the machine on which task 0 runs.
  void place_second_task() { under_test.place(job(), 1, machine, attempt_number(2)); }
  void answer_probes_at(const std::string& host, const std::string& address) {
    net.serve(host, address, [](const net::request&, const net::reply_fn& reply) {
      reply({200, "{}", std::nullopt, false});
    });
  }
  /// Places task 1 on a machine and reports that it failed there.
  void fail_on(const machine_name& name, attempt_number number) {
    auto listing = heartbeat(incarnation, ++failure_sequence, current_token);
    listing.machine = name;
    under_test.handle(listing);
    under_test.place(job(), 1, name, number);
    listing.sequence = ++failure_sequence;
    listing.tasks = {{first_job, 1, number, attempt_phase::exited, exit_cause::error}};
    under_test.handle(listing);
    EXPECT_EQ(job().attempts().count(1), 0U);
  }

  sim_net net{1};
  state_service state;
  sim_runtime runtime;
  const kvstore::service_limits limits{100, 50, 8, 24};
  kvstore::client client;
  bool lease_valid = true;
  bool rented_in_term = false;
  std::uint64_t failure_sequence = 4;
  job_store::job_table jobs;
  workers::reconciler under_test;
};

}  // namespace

TEST_F(reconciler, unlisted_task_is_kept_if_the_heartbeat_carries_an_older_token) {
  const auto answer = under_test.handle(heartbeat(incarnation, 5, previous_token));
  EXPECT_TRUE(holds_first_attempt());
  EXPECT_FALSE(has_start(answer));
}

// Guards against a team exceeding its limit: an earlier leader found a start to be lost and
// reassigned its resources before that was stored, and its successor sent the start again.
TEST_F(reconciler, start_of_an_earlier_leader_is_never_sent_again) {
  EXPECT_FALSE(has_start(under_test.handle(heartbeat(incarnation, 5, previous_token))));
  EXPECT_TRUE(holds_first_attempt())
      << "the worker may have received the start after that heartbeat";
  EXPECT_FALSE(has_start(under_test.handle(heartbeat(incarnation, 6, current_token))));
  EXPECT_FALSE(holds_first_attempt()) << "the worker no longer accepts a start of an earlier term";
}

TEST_F(reconciler, task_no_longer_listed_is_lost_only_under_the_current_token) {
  under_test.handle(running_heartbeat(5));
  under_test.handle(heartbeat(incarnation, 6, previous_token));
  EXPECT_TRUE(holds_first_attempt());
  under_test.handle(heartbeat(incarnation, 7, current_token));
  EXPECT_FALSE(holds_first_attempt());
}

TEST_F(reconciler, outdated_heartbeat_is_no_loss_evidence_and_gets_no_commands) {
  under_test.handle(running_heartbeat(9));
  const auto answer = under_test.handle(heartbeat(incarnation, 8, current_token));
  EXPECT_TRUE(holds_first_attempt());
  EXPECT_FALSE(has_command(answer));
}

TEST_F(reconciler, newer_incarnation_is_loss_evidence) {
  under_test.handle(heartbeat(next_incarnation, 1, previous_token));
  EXPECT_FALSE(holds_first_attempt());
}

TEST_F(reconciler, lease_expires_only_after_the_grace_period_of_a_deposed_leader) {
  const time_point start = net.now();
  under_test.handle(heartbeat(incarnation, 5, previous_token));
  net.run_for(seconds(8));
  under_test.expire_leases(start, net.now());
  EXPECT_TRUE(holds_first_attempt()) << "a deposed leader may have renewed the lease";
  net.run_for(seconds(5));
  under_test.expire_leases(net.now() - seconds(5), net.now());
  EXPECT_TRUE(holds_first_attempt()) << "a lease delegate may have renewed the lease";
  under_test.expire_leases(start, net.now() - seconds(5));
  EXPECT_TRUE(holds_first_attempt()) << "the confirmation is too old";
  under_test.expire_leases(start, net.now());
  EXPECT_FALSE(holds_first_attempt());
}

TEST_F(reconciler, released_machine_is_loss_evidence) {
  under_test.machine_lost(machine, workers::loss_evidence::machine_released);
  EXPECT_FALSE(holds_first_attempt());
}

TEST_F(reconciler, exit_is_acknowledged_only_once_the_completion_is_stored) {
  auto listing = heartbeat(incarnation, 5, current_token);
  listing.tasks = {task_status(attempt_phase::exited, exit_cause::done)};
  EXPECT_FALSE(acknowledges_exit(under_test.handle(listing)));
  EXPECT_TRUE(job().done().contains(0));
  net.run_for(seconds(1));
  listing.sequence = 6;
  EXPECT_TRUE(acknowledges_exit(under_test.handle(listing)));
}

TEST_F(reconciler, no_task_is_started_without_a_valid_leader_lease) {
  under_test.handle(running_heartbeat(5));
  place_second_task();
  net.run_for(seconds(1));
  lease_valid = false;
  EXPECT_FALSE(has_start(under_test.handle(running_heartbeat(6))));
  EXPECT_EQ(job().attempts().count(1), 1U);
  lease_valid = true;
  EXPECT_TRUE(has_start(under_test.handle(running_heartbeat(7))));
}

TEST_F(reconciler, no_task_is_started_before_its_attempt_is_stored) {
  under_test.handle(running_heartbeat(5));
  place_second_task();
  EXPECT_FALSE(contains(under_test.handle(running_heartbeat(6)), "run-1/1"));
  net.run_for(seconds(1));
  EXPECT_TRUE(contains(under_test.handle(running_heartbeat(7)), "run-1/1"));
}

TEST_F(reconciler, machine_that_misses_a_start_accepts_no_tasks_until_it_answers_a_probe) {
  under_test.handle(running_heartbeat(5));
  EXPECT_TRUE(accepts_tasks());
  place_second_task();
  net.run_for(seconds(1));
  ASSERT_TRUE(has_start(under_test.handle(running_heartbeat(6))));
  // The next heartbeat arrives and does not list the task, so the answer with the start was lost.
  EXPECT_FALSE(has_start(under_test.handle(running_heartbeat(7))));
  EXPECT_EQ(job().attempts().count(1), 0U)
      << "the task is proven not started and may be placed elsewhere";
  EXPECT_FALSE(accepts_tasks());
  under_test.probe();
  net.run_for(seconds(3));
  EXPECT_FALSE(accepts_tasks()) << "the probe was not answered";
  answer_probes_at("m", "m:9");
  under_test.probe();
  net.run_for(seconds(1));
  under_test.handle(running_heartbeat(8));
  EXPECT_TRUE(accepts_tasks()) << "the machine is used again once it has answered a probe";
}

TEST_F(reconciler, machine_whose_lease_expires_despite_answers_accepts_no_tasks) {
  under_test.handle(running_heartbeat(5));
  under_test.handle(heartbeat(next_incarnation, 1, current_token));
  EXPECT_FALSE(holds_first_attempt())
      << "answered heartbeats are no proof that the lease was renewed";
  EXPECT_FALSE(accepts_tasks());
}

// A zone of a thousand machines is reachable again after a partition. With twenty probes
// per second that always went to the first machines, the last ones would have been returned to the
// cloud before they were probed.
TEST_F(reconciler, unreachable_machines_are_probed_in_turn) {
  constexpr int machines = 1300;
  auto many_probes = settings();
  many_probes.probes_per_second = 90;
  workers::reconciler zone(runtime, jobs, many_probes, current_token, hooks());
  zone.start_reconciling();
  for (int i = 0; i < machines; ++i) {
    const std::string host = "n-" + std::to_string(100000 + i);
    for (const auto& [number, sequence] :
         std::map<std::uint64_t, std::uint64_t>{{incarnation, 5}, {next_incarnation, 1}}) {
      auto listing = heartbeat(number, sequence, current_token);
      listing.machine = machine_name(host);
      listing.address = host + ":9";
      zone.handle(listing);
    }
    const bool unreachable = i % 10 == 0;
    if (!unreachable) answer_probes_at(host, host + ":9");
  }
  for (int second = 0; second < 20; ++second) {
    zone.probe();
    net.run_for(seconds(1));
  }
  for (const auto& [name, worker] : zone.all()) {
    const bool unreachable = name.str().back() == '0';
    EXPECT_EQ(worker.unreachable_since.has_value(), unreachable) << name;
    EXPECT_EQ(worker.unanswered_probes > 0, unreachable) << name;
  }
}

TEST_F(reconciler, exit_for_an_incomplete_gang_counts_only_under_the_current_token) {
  // The gang member may have been started again with the same attempt number in the meantime.
  auto listing = heartbeat(incarnation, 5, previous_token);
  listing.tasks = {task_status(attempt_phase::exited, exit_cause::gang_incomplete)};
  EXPECT_FALSE(acknowledges_exit(under_test.handle(listing)));
  EXPECT_TRUE(holds_first_attempt());
  listing = heartbeat(incarnation, 6, current_token);
  listing.tasks = {task_status(attempt_phase::exited, exit_cause::gang_incomplete)};
  under_test.handle(listing);
  EXPECT_FALSE(holds_first_attempt());
}

// The back-off of a job that fails everywhere grows each time, but is limited. The job avoids the
// machines on which it failed until 45 s after its last failure and no longer, because these may be
// the only ones that fit it.
TEST_F(reconciler, failing_job_backs_off_for_a_minute_at_most) {
  for (std::uint64_t round = 0; round < 9; ++round) {
    for (const machine_name& name : std::vector<machine_name>{"m", "n", "o"})
      fail_on(name, attempt_number(100 + round));
  }
  EXPECT_EQ(job().backoff_rounds(), 9U);
  EXPECT_GT(job().not_before(), net.now() + seconds(30));
  EXPECT_LE(job().not_before(), net.now() + seconds(60));
  fail_on(machine, attempt_number(200));
  EXPECT_EQ(job().failures_by_machine().size(), 1U);
  net.run_for(seconds(30));
  under_test.forget_old_failures();
  EXPECT_EQ(job().failures_by_machine().size(), 1U);
  net.run_for(seconds(20));
  under_test.forget_old_failures();
  EXPECT_TRUE(job().failures_by_machine().empty());
}

TEST_F(reconciler, machine_rented_in_this_term_accepts_tasks_from_its_first_heartbeat_on) {
  rented_in_term = true;
  under_test.handle(heartbeat(incarnation, 1, {}));
  EXPECT_TRUE(accepts_tasks());
}

TEST_F(reconciler, delayed_heartbeat_from_an_earlier_term_does_not_make_a_machine_usable) {
  under_test.handle(heartbeat(incarnation, 5, previous_token));
  EXPECT_FALSE(accepts_tasks());
  EXPECT_TRUE(holds_first_attempt());
  under_test.handle(running_heartbeat(6));
  EXPECT_TRUE(accepts_tasks());
}

}  // namespace gingerdrift::testing
