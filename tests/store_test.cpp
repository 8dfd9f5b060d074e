// Tests how the leader's records are written: their order, the write budget, and state service
// limits that are lowered while the leader runs.
#include <gtest/gtest.h>

#include "former_version.hpp"
#include "job_builder.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

constexpr kvstore::limit_shares half_for_users{.requests = 1, .writes = 1, .user_requests = 0.5};
const kvstore::condition leader_key{"gd/leader", {}};

}  // namespace

// The leader's records and the users' submissions share one write budget.
TEST(job_table, leaves_writes_for_submissions_when_many_records_change) {
  const kvstore::service_limits limits{
      .requests_per_s = 100, .writes_per_s = 20, .value_kb = 8, .txn_operations = 24};
  sim_net net{1};
  state_service state(net, "state:1");
  state.set_limits(limits);
  sim_runtime runtime(net, "node-0");
  kvstore::client client(runtime, "state:1", limits, std::nullopt, half_for_users);
  std::size_t stored = 0;
  auto owner = no_op_hooks();
  owner.stored = [&](const job_id&) { ++stored; };
  job_store::job_table table(runtime, client, leader_key, limits, owner);
  for (int i = 0; i < 100; ++i) table.insert(make_job(numbered_job(i), 3));

  // Records change five times as often as they may be written.
  for (int tick = 0; tick < 100; ++tick) {
    net.after(milliseconds(100) * tick, [&, tick] {
      for (int i = 0; i < 10; ++i)
        table.mark_head(*table.find(numbered_job((tick * 10 + i) % 100)));
    });
  }
  int accepted = 0;
  const auto submit = [&](int number) {
    client.txn({}, {kvstore::operation::put("gd/job/new-" + std::to_string(number), {{"x", 1}})},
               [&](const kvstore::result& answer) { accepted += answer.ok(); });
  };
  for (int i = 0; i < 9; ++i)
    net.after(seconds(1) * (i + 1) + milliseconds(37), [&submit, i] { submit(i); });
  net.run_for(seconds(11));

  EXPECT_EQ(accepted, 9);
  EXPECT_GT(stored, 100U) << "records must still be written";
}

TEST(change_queue, returns_urgent_units_first_together_with_their_deferrable_changes) {
  job_store::change_queue changes;
  const time_point start{seconds(100)};
  changes.add_deferrable({"run-1", 0}, start);
  changes.add_deferrable({"run-2", 0}, start);
  EXPECT_FALSE(changes.has_due_changes(start + milliseconds(300)));
  EXPECT_FALSE(changes.pop_due_deferrable(start + milliseconds(300)).has_value())
      << "the unit waits for further changes";

  changes.add_urgent({"run-2", 0});

  EXPECT_EQ(changes.pop_urgent()->job, "run-2");
  EXPECT_EQ(changes.pop_due_deferrable(start + seconds(1))->job, "run-1");
  EXPECT_FALSE(changes.pop_due_deferrable(start + seconds(1)).has_value())
      << "run-2 was returned as urgent";
  EXPECT_TRUE(changes.empty());
}

namespace {

/// A leader's job table with a state service whose limits may be lowered.
class job_table_limits_test : public ::testing::Test {
 protected:
  job_table_limits_test() { state.set_limits(normal_limits); }
  void make_table(const kvstore::service_limits& sizes) {
    table = std::make_unique<job_store::job_table>(runtime, client, leader_key, sizes, owner());
  }
  job_store::job_table::hooks owner() {
    auto owner = no_op_hooks();
    owner.finalized = [this](const job_id& id, const job_store::terminal_state&) {
      finalized_jobs.push_back(id);
    };
    return owner;
  }
  /// Inserts a job whose record is too large for `reduced_limits`, as an earlier version may have
  /// written it.
  job_store::job& insert_large_record(const job_id& id) {
    job_store::job job = make_job(id, 120, 150);
    for (std::uint32_t task = 0; task < job.spec().tasks; ++task)
      place_first_attempt(job, task, machine_name("n-" + std::to_string(100000 + task)));
    return table->insert(job);
  }

  const kvstore::service_limits normal_limits{
      .requests_per_s = 100, .writes_per_s = 50, .value_kb = 8, .txn_operations = 24};
  const kvstore::service_limits reduced_limits{
      .requests_per_s = 100, .writes_per_s = 50, .value_kb = 2, .txn_operations = 8};
  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-0"};
  kvstore::client client{runtime, "state:1", normal_limits, reduced_limits, half_for_users};
  std::unique_ptr<job_store::job_table> table;
  std::vector<job_id> finalized_jobs;
};

}  // namespace

TEST_F(job_table_limits_test, ends_a_job_whose_record_is_too_large_to_be_written) {
  state.set_limits(reduced_limits);
  make_table(reduced_limits);
  job_store::job& job = insert_large_record("run-1");
  job.cancel();
  table->mark_head(job);
  std::optional<bool> waiter_got_state;
  table->when_terminal(job, [&](const std::optional<job_store::terminal_state>& end) {
    waiter_got_state = end.has_value();
  });
  net.run_for(seconds(1));
  EXPECT_EQ(waiter_got_state, std::optional(false))
      << "users who wait for the end are answered at once";
  EXPECT_EQ(state.refused_for_size(), 0U) << "the write must not be attempted";
  EXPECT_EQ(state.peek("gd/job/run-1"), nullptr);

  while (job.attempts().size() > 10) {
    job.remove_attempt(job.attempts().begin()->first);
    table->mark_task(job, 0, job_store::write_urgency::deferrable);
  }
  net.run_for(seconds(2));
  EXPECT_NE(state.peek("gd/job/run-1"), nullptr) << "the record is small enough now";
  EXPECT_TRUE(job.stored_terminal_state().has_value());

  remove_all_attempts(job);
  table->finalize(job);
  net.run_for(seconds(1));
  EXPECT_EQ(finalized_jobs, std::vector<job_id>{"run-1"});
  EXPECT_NE(state.peek("gd/final/run-1"), nullptr);
}

TEST_F(job_table_limits_test,
       does_not_endlessly_repeat_transactions_that_are_rejected_for_their_size) {
  make_table(normal_limits);
  for (int i = 0; i < 20; ++i) table->mark_head(table->insert(make_job(numbered_job(100 + i))));
  table->mark_head(insert_large_record("run-1"));
  state.set_limits(reduced_limits);

  net.run_for(seconds(20));

  EXPECT_GT(state.refused_for_size(), 0U);
  EXPECT_LT(state.refused_for_size(), 20U);
  for (int i = 0; i < 20; ++i)
    EXPECT_NE(state.peek("gd/job/run-" + std::to_string(100 + i)), nullptr) << i;
}

// Guards against starvation of final states. Placements and deferrable changes arrive all the time.
// With few writes per second they once used up the write budget, and none was left for final
// states, which need two writes at a time.
TEST_F(job_table_limits_test, writes_final_states_before_placements_and_deferrable_changes) {
  const kvstore::service_limits few_writes{
      .requests_per_s = 100, .writes_per_s = 12, .value_kb = 2, .txn_operations = 8};
  state.set_limits(few_writes);
  kvstore::client scarce(runtime, "state:1", few_writes, std::nullopt, half_for_users);
  job_store::job_table busy(runtime, scarce, leader_key, few_writes, owner());
  for (int i = 0; i < 60; ++i) {
    busy.insert(make_job(numbered_job(100 + i), 10000, 10000));
  }

  for (std::uint32_t tick = 0; tick < 2000; ++tick) {
    net.after(milliseconds(10) * tick, [&busy, tick] {
      job_store::job* job = busy.find(numbered_job(130 + tick % 30));
      const std::uint32_t task = tick % 20;
      job->place_attempt(task, attempt_number(tick), "n-100000", worker_incarnation(1));
      busy.mark_placed(*job, task);
    });
  }
  for (int i = 0; i < 30; ++i) {
    net.after(milliseconds(600) * i, [&busy, i] {
      job_store::job* job = busy.find(numbered_job(100 + i));
      finish_all_tasks(*job);
      busy.finalize(*job);
    });
  }
  net.run_for(seconds(19));

  EXPECT_EQ(finalized_jobs.size(), 30U);
}

TEST_F(job_table_limits_test, finalizes_a_large_job_and_removes_its_parts_in_one_transaction) {
  make_table(reduced_limits);
  job_store::job& job = table->insert(make_job("run-1", 100, 50));
  for (const std::uint32_t task : {1U, 60U}) {
    place_first_attempt(job, task, "n-100000");
    table->mark_task(job, task, job_store::write_urgency::urgent);
  }
  table->mark_head(job);
  net.run_for(seconds(1));
  EXPECT_NE(state.peek("gd/part/run-1/2"), nullptr);

  finish_all_tasks(job);
  const std::size_t writes = state.writes_admitted();
  table->finalize(job);
  net.run_for(seconds(1));

  EXPECT_EQ(finalized_jobs, std::vector<job_id>{"run-1"});
  EXPECT_EQ(state.peek("gd/part/run-1/1"), nullptr);
  EXPECT_EQ(state.peek("gd/part/run-1/2"), nullptr);
  EXPECT_EQ(state.writes_admitted() - writes, 4U)
      << "the head and two parts are removed, the final record is written";
}

TEST_F(job_table_limits_test, client_uses_the_announced_rates_after_a_rejection) {
  const kvstore::service_limits announced_limits{
      .requests_per_s = 100, .writes_per_s = 10, .value_kb = 2, .txn_operations = 8};
  kvstore::client busy(runtime, "state:1", normal_limits, announced_limits, half_for_users);
  state.set_limits(announced_limits);
  std::size_t stored = 0;

  const auto write = [&](int number) {
    busy.txn({}, {kvstore::operation::put("x/" + std::to_string(number), {{"x", 1}})},
             [&](const kvstore::result& answer) { stored += answer.ok(); });
  };
  for (int i = 0; i < 3000; ++i) net.after(milliseconds(10) * i, [&write, i] { write(i); });
  net.run_for(seconds(31));

  EXPECT_LT(state.refused_for_rate(), 10U)
      << "the client must not continue above the announced rate";
  EXPECT_GT(stored, 250U);
}

// Guards against tasks that are started twice: a successor that runs the version in production
// reads only the first 1000 keys of the log and would start the attempts in further keys again.
TEST(placement_log, writes_no_more_keys_than_former_versions_read) {
  constexpr std::size_t bytes_for_one = 100;
  job_store::placement_log log(bytes_for_one);
  const auto none_superseded = [](const job_store::placement&) { return false; };
  std::set<std::string> keys;
  for (std::uint32_t task = 0; task < 1100; ++task) {
    log.add({.job = "run-7",
             .task = task,
             .number = attempt_number(1),
             .machine = "n-000231",
             .incarnation = worker_incarnation(1),
             .unit = 0,
             .change = task + 1});
    if (const auto write = log.prepare(none_superseded)) keys.insert(write->operation.key);
    log.acknowledge(store_revision(task + 1));
  }
  EXPECT_EQ(keys.size(), 1000U);
  EXPECT_TRUE(log.has_pending())
      << "the others wait until the records of their jobs contain the logged attempts";
  for (const auto& key : keys) {
    for (const auto* former : former_version::all_releases())
      EXPECT_NO_THROW(former->read_log_jobs(key, R"({"starts":[]})")) << key;
  }

  const auto write =
      log.prepare([](const job_store::placement& placement) { return placement.task < 10; });

  EXPECT_TRUE(write.has_value());
}

// Guards against a leader that loses its lease because requests of many workers and users have used
// up the request budget of its controller.
TEST(kvstore_client, sends_a_lease_renewal_although_the_request_budget_is_used_up) {
  sim_net net{1};
  state_service state(net, "state:1");
  sim_runtime runtime(net, "node-0");
  const kvstore::service_limits limits{
      .requests_per_s = 50, .writes_per_s = 20, .value_kb = 8, .txn_operations = 24};
  kvstore::client client(runtime, "state:1", limits, std::nullopt, half_for_users);
  std::uint64_t lease = 0;
  client.grant(seconds(4), [&](const kvstore::result& answer) { lease = answer.lease; });
  net.run_for(milliseconds(50));

  int refused = 0;
  for (int i = 0; i < 100; ++i)
    client.get("gd/leader",
               [&](const kvstore::result& answer) { refused += answer.rate_limited(); });
  int renewed = 0;
  client.renew(lease, seconds(1), [&](const kvstore::result& answer) { renewed += answer.ok(); });
  net.run_for(seconds(1));

  EXPECT_GT(refused, 0);
  EXPECT_EQ(renewed, 1);
}

}  // namespace gingerdrift::testing
