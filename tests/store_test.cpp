// How the leader's records are written: order, budgets, and limits that fall.
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
TEST(job_table, leaves_writes_for_submissions_however_many_records_change) {
  const kvstore::service_limits limits{
      .requests_per_s = 100, .writes_per_s = 20, .value_kb = 8, .txn_operations = 24};
  sim_net net{1};
  state_service state(net, "state:1");
  state.set_limits(limits);
  sim_runtime runtime(net, "node-0");
  kvstore::client client(runtime, "state:1", limits, std::nullopt, half_for_users);
  std::size_t stored = 0;
  auto owner = idle_owner();
  owner.stored = [&](const job_id&) { ++stored; };
  job_store::job_table table(runtime, client, leader_key, limits, owner);
  for (int i = 0; i < 100; ++i) table.insert(make_job(numbered_job(i), 3));

  // Five times as many records change as may be written.
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
  EXPECT_GT(stored, 100U) << "records go on being written";
}

TEST(change_queue, puts_urgent_changes_before_progress_and_takes_it_along) {
  job_store::change_queue changes;
  const time_point start{seconds(100)};
  changes.add_progress({"run-1", 0}, start);
  changes.add_progress({"run-2", 0}, start);
  EXPECT_FALSE(changes.due(start + milliseconds(300)));
  EXPECT_FALSE(changes.next_progress(start + milliseconds(300)).has_value()) << "it waits for more";

  changes.add_urgent({"run-2", 0});

  EXPECT_EQ(changes.next_urgent()->job, "run-2");
  EXPECT_EQ(changes.next_progress(start + seconds(1))->job, "run-1");
  EXPECT_FALSE(changes.next_progress(start + seconds(1)).has_value())
      << "run-2 went with its status";
  EXPECT_TRUE(changes.empty());
}

namespace {

/// A leader's job table against a store whose limits may fall.
class job_table_with_falling_limits : public ::testing::Test {
 protected:
  job_table_with_falling_limits() { state.set_limits(wide); }
  void make_table(const kvstore::service_limits& sizes) {
    table = std::make_unique<job_store::job_table>(runtime, client, leader_key, sizes, owner());
  }
  job_store::job_table::hooks owner() {
    auto owner = idle_owner();
    owner.gone = [this](const job_id& id, const job_store::terminal_state&) { gone.push_back(id); };
    return owner;
  }
  /// As an earlier version may have written it: more attempts than a small value holds.
  job_store::job& insert_large_record(const job_id& id) {
    job_store::job job = make_job(id, 120, 150);
    for (std::uint32_t task = 0; task < job.spec().tasks; ++task)
      place_first_attempt(job, task, machine_name("n-" + std::to_string(100000 + task)));
    return table->insert(job);
  }

  const kvstore::service_limits wide{
      .requests_per_s = 100, .writes_per_s = 50, .value_kb = 8, .txn_operations = 24};
  const kvstore::service_limits narrow{
      .requests_per_s = 100, .writes_per_s = 50, .value_kb = 2, .txn_operations = 8};
  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-0"};
  kvstore::client client{runtime, "state:1", wide, narrow, half_for_users};
  std::unique_ptr<job_store::job_table> table;
  std::vector<job_id> gone;
};

}  // namespace

TEST_F(job_table_with_falling_limits, ends_a_job_whose_record_is_too_large_to_be_written) {
  state.set_limits(narrow);
  make_table(narrow);
  job_store::job& job = insert_large_record("run-1");
  job.cancel();
  table->mark_head(job);
  std::optional<bool> waiter_got_end;
  table->when_terminal(job, [&](const std::optional<job_store::terminal_state>& end) {
    waiter_got_end = end.has_value();
  });
  net.run_for(seconds(1));
  EXPECT_EQ(waiter_got_end, std::optional(false)) << "who waits for it hears so at once";
  EXPECT_EQ(state.refused_for_size(), 0U) << "it is not even tried";
  EXPECT_EQ(state.peek("gd/job/run-1"), nullptr);

  while (job.attempts().size() > 10) {
    job.remove_attempt(job.attempts().begin()->first);
    table->mark(job, 0, job_store::write_urgency::progress);
  }
  net.run_for(seconds(2));
  EXPECT_NE(state.peek("gd/job/run-1"), nullptr) << "small enough by now";
  EXPECT_TRUE(job.end().has_value());

  remove_all_attempts(job);
  table->finalize(job);
  net.run_for(seconds(1));
  EXPECT_EQ(gone, std::vector<job_id>{"run-1"});
  EXPECT_NE(state.peek("gd/final/run-1"), nullptr);
}

TEST_F(job_table_with_falling_limits, does_not_repeat_for_ever_what_is_refused_for_its_size) {
  make_table(wide);
  for (int i = 0; i < 20; ++i) table->mark_head(table->insert(make_job(numbered_job(100 + i))));
  table->mark_head(insert_large_record("run-1"));
  state.set_limits(narrow);

  net.run_for(seconds(20));

  EXPECT_GT(state.refused_for_size(), 0U);
  EXPECT_LT(state.refused_for_size(), 20U);
  for (int i = 0; i < 20; ++i)
    EXPECT_NE(state.peek("gd/job/run-" + std::to_string(100 + i)), nullptr) << i;
}

// Placements and progress never end; with few writes a second they once left none for final states,
// which need two at a time.
TEST_F(job_table_with_falling_limits, writes_final_states_before_placements_and_progress) {
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

  EXPECT_EQ(gone.size(), 30U);
}

TEST_F(job_table_with_falling_limits, ends_a_large_job_with_its_parts_in_one_transaction) {
  make_table(narrow);
  job_store::job& job = table->insert(make_job("run-1", 100, 50));
  for (const std::uint32_t task : {1U, 60U}) {
    place_first_attempt(job, task, "n-100000");
    table->mark(job, task, job_store::write_urgency::urgent);
  }
  table->mark_head(job);
  net.run_for(seconds(1));
  EXPECT_NE(state.peek("gd/part/run-1/2"), nullptr);

  finish_all_tasks(job);
  const std::size_t writes = state.writes_admitted();
  table->finalize(job);
  net.run_for(seconds(1));

  EXPECT_EQ(gone, std::vector<job_id>{"run-1"});
  EXPECT_EQ(state.peek("gd/part/run-1/1"), nullptr);
  EXPECT_EQ(state.peek("gd/part/run-1/2"), nullptr);
  EXPECT_EQ(state.writes_admitted() - writes, 4U)
      << "head and two parts go, the final record comes";
}

TEST_F(job_table_with_falling_limits, its_client_uses_the_announced_rates_after_a_refusal) {
  const kvstore::service_limits fallen{
      .requests_per_s = 100, .writes_per_s = 10, .value_kb = 2, .txn_operations = 8};
  kvstore::client busy(runtime, "state:1", wide, fallen, half_for_users);
  state.set_limits(fallen);
  std::size_t stored = 0;

  const auto write = [&](int number) {
    busy.txn({}, {kvstore::operation::put("x/" + std::to_string(number), {{"x", 1}})},
             [&](const kvstore::result& answer) { stored += answer.ok(); });
  };
  for (int i = 0; i < 3000; ++i) net.after(milliseconds(10) * i, [&write, i] { write(i); });
  net.run_for(seconds(31));

  EXPECT_LT(state.refused_for_rate(), 10U) << "no storm of refusals";
  EXPECT_GT(stored, 250U);
}

// A successor with the version in production reads no further: attempts there would start twice.
TEST(placement_log, writes_no_more_keys_than_former_versions_read) {
  constexpr std::size_t bytes_for_one = 100;
  job_store::placement_log log(bytes_for_one);
  const auto none_absorbed = [](const job_store::placement&) { return false; };
  std::set<std::string> keys;
  for (std::uint32_t task = 0; task < 1100; ++task) {
    log.add({.job = "run-7",
             .task = task,
             .number = attempt_number(1),
             .machine = "n-000231",
             .incarnation = worker_incarnation(1),
             .unit = 0,
             .change = task + 1});
    if (const auto write = log.prepare(none_absorbed)) keys.insert(write->operation.key);
    log.acknowledge(store_revision(task + 1));
  }
  EXPECT_EQ(keys.size(), 1000U);
  EXPECT_TRUE(log.has_pending()) << "the rest waits until records have caught up";
  for (const auto& key : keys) {
    for (const auto* former : former_version::all_releases())
      EXPECT_NO_THROW(former->read_log_jobs(key, R"({"starts":[]})")) << key;
  }

  const auto write =
      log.prepare([](const job_store::placement& placement) { return placement.task < 10; });

  EXPECT_TRUE(write.has_value());
}

// A herd of workers and users uses up what the node may ask; its lease must not end for that.
TEST(kvstore_client, sends_a_renewal_though_the_budget_is_used_up) {
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
    client.get("gd/leader", [&](const kvstore::result& answer) { refused += answer.over_rate(); });
  int renewed = 0;
  client.renew(lease, seconds(1), [&](const kvstore::result& answer) { renewed += answer.ok(); });
  net.run_for(seconds(1));

  EXPECT_GT(refused, 0);
  EXPECT_EQ(renewed, 1);
}

}  // namespace gingerdrift::testing
