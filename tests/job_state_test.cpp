// Tests which state of a job a controller may report to users, and on what evidence
// (docs/design.md, "No older answer").
#include <gtest/gtest.h>

#include "api/http_api.hpp"
#include "job_builder.hpp"
#include "job_store/job_state.hpp"
#include "job_store/recent_completions.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

using job_store::cancellation_acknowledgement;
using job_store::end_write;

const kvstore::service_limits normal_limits{
    .requests_per_s = 1000, .writes_per_s = 500, .value_kb = 8, .txn_operations = 24};
const kvstore::condition leader_key{"gd/leader", {}};

job_store::job two_task_job(const job_id& id) { return make_job(id, 2); }

job_store::terminal_state terminal_state_of(const std::string& status) {
  return *job_store::try_decode_final({{"status", status}, {"done", 2U}});
}

std::string state_name(const job_store::job_state& state) {
  if (std::holds_alternative<job_store::indeterminate>(state)) return "indeterminate";
  if (const auto* end = std::get_if<job_store::terminal_state>(&state))
    return job_store::status_name(end->status());
  return "in progress";
}

/// The user API of a controller with a simulated store. Each test sets how the leader answers.
/// While `memory` has a state, the controller itself is the leader.
class user_api_test : public ::testing::Test, private api::node_services {
 protected:
  user_api_test() {
    state.set_limits(normal_limits);
    api::options options;
    options.node = "node-1";
    api::node_services& services = *this;
    users = std::make_unique<api::http_api>(runtime, client, options, std::vector<config::team>{},
                                            services);
  }
  void put(const std::string& key, kvstore::json value) {
    client.txn({}, {kvstore::operation::put(key, std::move(value))},
               [](const kvstore::result& answer) { ASSERT_TRUE(answer.ok()); });
    net.run_for(milliseconds(50));
  }
  /// Requests the state of a job. The status code and the state of the answer are stored in
  /// `shown_state`.
  void request_state(const std::string& id) {
    shown_state.clear();
    users->handle({"GET", "/work/" + id, ""}, false, [this](const net::response& reply) {
      shown_state = std::to_string(reply.status);
      if (reply.status == 200)
        shown_state += " " + json::parse(reply.body).at("status").get<std::string>();
    });
  }
  std::string shown_state_of(const std::string& id) {
    request_state(id);
    net.run_for(seconds(5));
    return shown_state;
  }

  bool is_leader() const override { return memory.has_value(); }
  std::optional<job_store::job_state> state_of(const job_id&) override { return memory; }
  void cancel(const job_id&, cancelled_fn done) override { done(std::nullopt); }
  void notify_leader_of_job(const job_id&) override {}
  void forward_to_leader(const net::request& message, net::reply_fn done) override {
    runtime.call("leader:2", message, milliseconds(1200), std::move(done));
  }
  void forward_to_peer_with_store(const net::request&, net::reply_fn done) override { done({}); }
  bool healthy() const override { return true; }
  bool store_reachable() const override { return true; }
  const std::vector<admission::machine_type>& machine_types() const override { return types; }
  std::string status() override { return "{}"; }
  bool dependencies_supported() const override { return true; }

  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-1"};
  kvstore::client client{runtime, "state:1", normal_limits, std::nullopt, kvstore::limit_shares{}};
  std::vector<admission::machine_type> types;
  std::unique_ptr<api::http_api> users;
  std::optional<job_store::job_state> memory;
  std::string shown_state;
};

}  // namespace

TEST(job_state, in_memory_is_indeterminate_while_a_write_that_ends_the_job_is_unanswered) {
  const auto acknowledgement = cancellation_acknowledgement::when_stored;
  job_store::job job = two_task_job("run-1");
  EXPECT_EQ(state_name(job_store::state_in_memory(job, acknowledgement)), "in progress");
  finish_all_tasks(job);
  EXPECT_EQ(state_name(job_store::state_in_memory(job, acknowledgement)), "in progress")
      << "no other controller can have read the end";
  job.mark_end_write_sent(end_write::status_sent);
  EXPECT_EQ(state_name(job_store::state_in_memory(job, acknowledgement)), "indeterminate")
      << "other controllers may have read the end";
  job.mark_end_stored(terminal_state_of("done"));
  EXPECT_EQ(state_name(job_store::state_in_memory(job, acknowledgement)), "done");
}

TEST(job_state, in_memory_is_indeterminate_while_a_cancellation_is_not_stored) {
  job_store::job job = two_task_job("run-1");
  job.cancel();
  EXPECT_EQ(state_name(job_store::state_in_memory(job, cancellation_acknowledgement::when_stored)),
            "indeterminate");
  job.mark_end_stored(terminal_state_of("cancelled"));
  EXPECT_EQ(state_name(job_store::state_in_memory(job, cancellation_acknowledgement::when_stored)),
            "cancelled");
}

TEST(job_state, of_a_cancellation_acknowledged_late_depends_on_the_final_record_only) {
  const auto acknowledgement = cancellation_acknowledgement::when_tasks_are_gone;
  job_store::job job = two_task_job("run-1");
  job.cancel();
  job.mark_end_stored(terminal_state_of("cancelled"));
  job.mark_end_write_sent(end_write::status_sent);
  EXPECT_EQ(state_name(job_store::state_in_memory(job, acknowledgement)), "in progress");
  EXPECT_EQ(state_name(job_store::state_in_record(job, acknowledgement)), "in progress");
  job.mark_end_write_sent(end_write::final_record_sent);
  EXPECT_EQ(state_name(job_store::state_in_memory(job, acknowledgement)), "indeterminate")
      << "other controllers may have read the end";
}

TEST(recent_completions, detect_outdated_reads_after_completions_were_dropped) {
  const auto second = [](int moment) { return time_point(seconds(moment)); };
  job_store::recent_completions completions(2);
  completions.add("run-1", second(10));
  EXPECT_TRUE(completions.may_have_ended_since("run-1", second(9)));
  EXPECT_FALSE(completions.may_have_ended_since("run-1", second(11)));
  EXPECT_FALSE(completions.may_have_ended_since("run-2", second(9)));
  completions.add("run-2", second(20));
  completions.add("run-3", second(30));
  EXPECT_TRUE(completions.may_have_ended_since("run-1", second(9)))
      << "reads from before a dropped completion count as outdated";
  EXPECT_TRUE(completions.may_have_ended_since("run-2", second(19)));
  EXPECT_FALSE(completions.may_have_ended_since("run-4", second(11)));
}

TEST_F(user_api_test, shows_the_states_in_the_stored_records) {
  put("gd/job/run-1", job_store::encode_head(two_task_job("run-1")));
  put("gd/final/run-2", {{"status", "done"}, {"done", 2U}});
  job_store::job cancelled = two_task_job("run-3");
  cancelled.cancel();
  put("gd/job/run-3", job_store::encode_head(cancelled));
  EXPECT_EQ(shown_state_of("run-1"), "200 pending");
  EXPECT_EQ(shown_state_of("run-2"), "200 done");
  EXPECT_EQ(shown_state_of("run-3"), "200 cancelled");
  EXPECT_EQ(shown_state_of("run-4"), "404");
}

TEST_F(user_api_test, answers_503_for_malformed_or_contradictory_records) {
  put("gd/final/run-1", {{"status", "lost"}, {"done", 2U}});
  put("gd/final/run-2", {{"status", "done"}});
  put("gd/final/run-3", {{"status", "done"}, {"done", 100001U}});
  put("gd/final/run-4", 7);
  put("gd/job/run-5", {{"status", "active"}});
  json head = job_store::encode_head(two_task_job("run-6"));
  head["status"] = "finished";
  put("gd/job/run-6", head);
  put("gd/job/run-7", job_store::encode_head(two_task_job("run-8")));
  put("gd/job/run-9", job_store::encode_head(two_task_job("run-9")));
  put("gd/final/run-9", {{"status", "done"}, {"done", 2U}});
  head = job_store::encode_head(two_task_job("run-10"));
  head["attempts"] = {{2, 1, "n-1", 1}};
  put("gd/job/run-10", head);
  for (const int number : {1, 2, 3, 4, 5, 6, 7, 9, 10})
    EXPECT_EQ(shown_state_of("run-" + std::to_string(number)), "503") << number;
}

TEST_F(user_api_test, discards_a_read_that_was_delayed_by_a_process_pause) {
  put("gd/job/run-1", job_store::encode_head(two_task_job("run-1")));
  put("gd/final/run-2", {{"status", "done"}, {"done", 2U}});
  state.slow_down(milliseconds(200), seconds(60));
  const auto request_and_freeze = [this](const std::string& id, double freeze_after_s) {
    request_state(id);
    net.run_for(from_seconds(freeze_after_s));
    net.freeze("node-1", seconds(3));
    net.run_for(seconds(10));
  };
  // The leader is unreachable, which is detected at once. The final record is read first, then the
  // head.
  request_and_freeze("run-1", 0.35);
  EXPECT_EQ(shown_state, "503");
  request_and_freeze("run-3", 0.35);
  EXPECT_EQ(shown_state, "503") << "the job must not be reported as unknown either";
  request_and_freeze("run-2", 0.1);
  EXPECT_EQ(shown_state, "200 done") << "a final record never changes";
}

TEST_F(user_api_test, reads_the_store_when_the_leaders_answer_was_delayed_by_a_process_pause) {
  put("gd/final/run-1", {{"status", "done"}, {"done", 2U}});
  net.serve("leader", "leader:2", [this](const net::request&, const net::reply_fn& reply) {
    net.after(milliseconds(100), [reply] {
      reply(json_response(
          200, {{"nameId", "run-1"}, {"status", "running"}, {"done", 1}, {"running", 1}}));
    });
  });
  request_state("run-1");
  net.run_for(milliseconds(50));
  net.freeze("node-1", seconds(3));
  net.run_for(seconds(10));
  EXPECT_EQ(shown_state, "200 done");
}

TEST_F(user_api_test, reads_the_store_while_the_leaders_memory_is_indeterminate) {
  put("gd/final/run-1", {{"status", "done"}, {"done", 2U}});
  put("gd/job/run-2", job_store::encode_head(two_task_job("run-2")));
  memory = job_store::indeterminate{};
  EXPECT_EQ(shown_state_of("run-1"), "200 done");
  EXPECT_EQ(shown_state_of("run-2"), "200 pending");
  state.start_outage(seconds(60));
  EXPECT_EQ(shown_state_of("run-2"), "503");
  memory = job_store::in_progress{1, 1};
  EXPECT_EQ(shown_state_of("run-2"), "200 running")
      << "the leader's memory suffices while its lease is valid";
}

namespace {

/// A leader's job table whose records are also changed by a successor.
class job_table_conflict_test : public ::testing::Test {
 protected:
  job_table_conflict_test() {
    state.set_limits(normal_limits);
    auto owner = no_op_hooks();
    owner.finalized = [this](const job_id& id, const job_store::terminal_state& end) {
      finalized_jobs[id] = job_store::status_name(end.status());
    };
    owner.may_write = [this] { return holds_lease; };
    table =
        std::make_unique<job_store::job_table>(runtime, client, leader_key, normal_limits, owner);
  }
  /// Stores an accepted job and inserts it into the table.
  job_store::job& add_accepted_job(const job_id& id) {
    job_store::job job = two_task_job(id);
    client.txn({}, {kvstore::operation::put("gd/job/" + id.str(), job_store::encode_head(job))},
               [&](const kvstore::result& answer) { job.set_version(0, answer.revision); });
    net.run_for(milliseconds(50));
    return table->insert(std::move(job));
  }
  /// Ends a job as a successor does: the head is replaced by a final record.
  void end_as_successor(const job_id& id, const kvstore::json& final_record) {
    client.txn({},
               {kvstore::operation::remove("gd/job/" + id.str()),
                kvstore::operation::put("gd/final/" + id.str(), final_record)},
               [](const kvstore::result& answer) { ASSERT_TRUE(answer.ok()); });
    net.run_for(milliseconds(50));
  }
  void cancel(job_store::job& job) {
    job.cancel();
    table->when_terminal(job, [this](const std::optional<job_store::terminal_state>& end) {
      reported_state = end ? job_store::status_name(end->status()) : "nothing";
    });
    table->finalize(job);
  }

  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-0"};
  kvstore::client client{runtime,
                         "state:1",
                         normal_limits,
                         std::nullopt,
                         {.requests = 1, .writes = 1, .user_requests = 0.5}};
  std::unique_ptr<job_store::job_table> table;
  std::map<job_id, std::string> finalized_jobs;
  bool holds_lease = true;
  std::string reported_state;
};

}  // namespace

TEST_F(job_table_conflict_test, takes_the_terminal_state_from_the_final_record_not_from_memory) {
  job_store::job& job = add_accepted_job("run-1");
  end_as_successor("run-1", {{"status", "done"}, {"done", 2U}});
  cancel(job);
  net.run_for(seconds(3));
  EXPECT_EQ(reported_state, "done") << "reported to the user";
  EXPECT_EQ(finalized_jobs["run-1"], "done") << "reported to caches and dependents";
  EXPECT_EQ(table->find("run-1"), nullptr);
}

TEST_F(job_table_conflict_test, reports_no_terminal_state_without_a_valid_lease) {
  job_store::job& job = add_accepted_job("run-1");
  end_as_successor("run-1", {{"status", "done"}, {"done", 2U}});
  cancel(job);
  net.run_for(milliseconds(5));  // the transaction was sent and is rejected a moment later
  holds_lease = false;
  net.run_for(seconds(3));
  EXPECT_EQ(reported_state, "");
  EXPECT_TRUE(finalized_jobs.empty());
  holds_lease = true;
  net.run_for(seconds(3));
  EXPECT_EQ(reported_state, "done");
}

TEST_F(job_table_conflict_test, reports_no_terminal_state_for_a_malformed_final_record) {
  job_store::job& job = add_accepted_job("run-1");
  end_as_successor("run-1", {{"status", "lost"}});
  cancel(job);
  job_store::job& other = add_accepted_job("run-2");
  net.run_for(seconds(3));
  EXPECT_EQ(reported_state, "nothing");
  EXPECT_TRUE(finalized_jobs.empty());
  EXPECT_EQ(*state.peek("gd/final/run-1"), json({{"status", "lost"}}));
  cancel(other);
  net.run_for(seconds(3));
  EXPECT_EQ(reported_state, "cancelled") << "the table continues with other jobs";
}

TEST_F(job_table_conflict_test, never_writes_a_head_for_an_ended_job) {
  job_store::job& job = add_accepted_job("run-1");
  end_as_successor("run-1", {{"status", "cancelled"}, {"done", 0U}});
  job.set_version(0, {});  // as if the head had been read as absent
  table->mark_head(job);
  net.run_for(seconds(3));
  EXPECT_EQ(state.peek("gd/job/run-1"), nullptr);
  EXPECT_EQ(finalized_jobs["run-1"], "cancelled");
}

TEST_F(job_table_conflict_test,
       makes_a_state_indeterminate_while_a_write_that_ends_the_job_is_unacknowledged) {
  job_store::job& job = add_accepted_job("run-1");
  state.lose_answers(1, seconds(2));
  finish_all_tasks(job);
  table->mark_head(job);
  EXPECT_EQ(job.end_write_sent(), end_write::none);
  net.run_for(milliseconds(100));
  EXPECT_EQ(state.peek("gd/job/run-1")->at("status"), "done") << "other controllers can read this";
  EXPECT_FALSE(job.stored_terminal_state().has_value());
  EXPECT_EQ(state_name(job_store::state_in_memory(job, cancellation_acknowledgement::when_stored)),
            "indeterminate");
  net.run_for(seconds(5));
  EXPECT_EQ(state_name(job_store::state_in_memory(job, cancellation_acknowledgement::when_stored)),
            "done");
}

}  // namespace gingerdrift::testing
