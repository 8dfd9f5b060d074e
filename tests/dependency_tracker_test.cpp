// Tests of the dependency tracker: a leader derives the state of waiting jobs only from stored
// records.
#include <gtest/gtest.h>

#include "dependencies/tracker.hpp"
#include "job_builder.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

using job_store::job_status;

const kvstore::condition leader_key{"gd/leader", {}};
constexpr kvstore::limit_shares half_of_requests_for_users{
    .requests = 1, .writes = 1, .user_requests = 0.5};

/// The parts of a leader that hold jobs and track their dependencies. It does not cache the final
/// states of jobs that have left the table.
class tracking_leader final : private dependencies::tracker_owner {
 public:
  tracking_leader(sim_net& net, const std::string& node, const kvstore::service_limits& limits)
      : runtime_(net, node),
        client(runtime_, "state:1", limits, std::nullopt, half_of_requests_for_users),
        table(runtime_, client, leader_key, limits, table_hooks()),
        tracker(runtime_, client, table, *this) {}

  void load_job(const kvstore::entry& head, time_point) override {
    tracker.job_added(table.insert(job_store::decode_head(head.value, head.version)));
  }
  /// Loads the heads whose keys sort after `after`, page by page, and then starts the tracker.
  void load_heads(const std::string& after) {
    client.list("gd/job/", after, [this](const kvstore::result& page) {
      for (const auto& entry : page.entries) load_job(entry, page.sent);
      if (page.more) return load_heads(page.entries.back().key);
      tracker.start();
    });
  }

 private:
  job_store::job_table::hooks table_hooks() {
    auto hooks = no_op_hooks();
    hooks.stored = [this](const job_id& id) { tracker.job_stored(id); };
    hooks.finalized = [this](const job_id& id, const job_store::terminal_state& end) {
      tracker.job_finalized(id, end);
    };
    return hooks;
  }
  std::optional<job_store::terminal_state> cached_terminal_state(const job_id&) override {
    return std::nullopt;
  }
  void dependencies_changed() override { ++dependency_changes; }

  sim_runtime runtime_;

 public:
  kvstore::client client;
  std::size_t dependency_changes = 0;  // how often the tracker reported a change
  job_store::job_table table;
  dependencies::tracker tracker;
};

class waiting_jobs : public ::testing::Test {
 protected:
  waiting_jobs() {
    state.set_limits(limits);
    tracker.start();
  }
  job_store::job& add_job(const job_id& id, std::vector<job_id> dependencies = {}) {
    job_store::job& job = table.insert(
        dependencies.empty() ? make_job(id) : make_waiting_job(id, std::move(dependencies)));
    tracker.job_added(job);
    return job;
  }
  void write(const std::string& key, const json& value) {
    client.txn({}, {kvstore::operation::put(key, value)}, [](const kvstore::result&) {});
    net.run_for(milliseconds(25));
  }
  /// Adds a job whose head refers to a dependency list that is stored under a key of its own.
  /// `stored_list` replaces the content of that key unless it is null.
  job_store::job& add_job_with_stored_list(const job_id& id,
                                           const std::vector<job_id>& dependencies,
                                           const json& stored_list = nullptr) {
    job_store::job job = make_job(id);
    job.wait_for({}, {.prefix = "gd/dependencies/" + id.str() + "/", .count = 1});
    write("gd/dependencies/" + id.str() + "/0",
          stored_list.is_null() ? json(texts_of(dependencies)) : stored_list);
    write(job_store::head_key(id), job_store::encode_head(job));
    store_revision version;
    client.get(job_store::head_key(id),
               [&](const kvstore::result& found) { version = found.entries.front().version; });
    net.run_for(milliseconds(25));
    job_store::job& stored =
        table.insert(job_store::decode_head(*state.peek(job_store::head_key(id)), version));
    tracker.job_added(stored);
    return stored;
  }
  void end_job(job_store::job& job, job_status status) {
    if (status == job_status::cancelled) {
      job.cancel();
      tracker.job_cancelled(job.spec().id);
    } else {
      finish_all_tasks(job);
    }
    table.finalize(job);
  }
  bool has_left_table(const job_id& id) { return table.find(id) == nullptr; }

  const kvstore::service_limits limits{
      .requests_per_s = 100, .writes_per_s = 50, .value_kb = 8, .txn_operations = 24};
  sim_net net{1};
  state_service state{net, "state:1"};
  tracking_leader leader{net, "node-0", limits};
  kvstore::client& client = leader.client;
  job_store::job_table& table = leader.table;
  dependencies::tracker& tracker = leader.tracker;
};

}  // namespace

// An end that is known only in memory is lost if the leader crashes, and the next leader may then
// accept a cancellation of the job.
TEST_F(waiting_jobs, become_ready_only_once_done_is_stored) {
  job_store::job& first = add_job("run-1");
  const job_store::job& dependent = add_job("run-2", {"run-1"});
  state.start_outage(seconds(5));
  end_job(first, job_status::done);
  tracker.job_stored("run-1");  // an earlier change of the job, not its end
  const job_store::job& added_later = add_job("run-3", {"run-1"});
  net.run_for(seconds(4));
  EXPECT_TRUE(dependent.waiting());
  EXPECT_TRUE(added_later.waiting())
      << "although its dependency had ended in memory when it was added";
  net.run_for(seconds(4));
  EXPECT_TRUE(has_left_table("run-1"));
  EXPECT_FALSE(dependent.waiting());
  EXPECT_NE(dependent.ready_ms(), 0);
  EXPECT_GT(leader.dependency_changes, 0U);
}

// If the dependents were stored as cancelled first, the dependency itself might still end as done.
TEST_F(waiting_jobs, are_cancelled_only_once_a_dependency_is_stored_as_cancelled) {
  job_store::job& first = add_job("run-1");
  const job_store::job& dependent = add_job("run-2", {"run-1"});
  add_job("run-3", {"run-2"});
  state.start_outage(seconds(5));
  end_job(first, job_status::cancelled);
  tracker.job_stored("run-1");  // an earlier change of the job, not its end
  const job_store::job& added_later = add_job("run-4", {"run-1"});
  net.run_for(seconds(4));
  EXPECT_EQ(dependent.status(), job_status::active);
  EXPECT_EQ(added_later.status(), job_status::active)
      << "although its dependency was cancelled in memory when it was added";
  net.run_for(seconds(4));
  EXPECT_TRUE(has_left_table("run-2"));
  EXPECT_TRUE(has_left_table("run-3"));
  EXPECT_TRUE(has_left_table("run-4"));
}

// While the acknowledgement of a cancellation is lost, other controllers may have read it from the
// store and reported it to users.
TEST_F(waiting_jobs,
       have_no_certain_state_while_the_cancellation_of_an_ancestor_is_unacknowledged) {
  job_store::job& first = add_job("run-1");
  add_job("run-2", {"run-1"});
  const job_store::job& last = add_job("run-3", {"run-2"});
  const job_store::job& other = add_job("run-4", {"run-5"});
  add_job("run-5");
  EXPECT_TRUE(tracker.is_state_certain(last));
  state.lose_answers(1, seconds(5));
  end_job(first, job_status::cancelled);
  net.run_for(seconds(1));
  EXPECT_NE(state.peek("gd/final/run-1"), nullptr);
  EXPECT_EQ(last.status(), job_status::active);
  EXPECT_FALSE(tracker.is_state_certain(last));
  EXPECT_TRUE(tracker.is_state_certain(other));
  net.run_for(seconds(10));
  EXPECT_TRUE(has_left_table("run-3"));
}

TEST_F(waiting_jobs,
       become_ready_or_cancelled_by_final_records_of_dependencies_that_ended_long_ago) {
  write("gd/final/run-1", {{"status", "done"}, {"done", 1}});
  write("gd/final/run-2", {{"status", "cancelled"}, {"done", 1}});
  net.run_for(seconds(1));
  const job_store::job& ready = add_job("run-11", {"run-1"});
  const job_store::job& cancelled_dependent = add_job("run-12", {"run-1", "run-2"});
  EXPECT_FALSE(tracker.is_state_certain(ready));
  EXPECT_FALSE(tracker.is_state_certain(cancelled_dependent));
  net.run_for(seconds(1));
  EXPECT_FALSE(ready.waiting());
  EXPECT_TRUE(has_left_table("run-12"));
}

TEST_F(waiting_jobs, keep_waiting_for_a_dependency_that_is_loaded_from_its_head) {
  write("gd/job/run-1", job_store::encode_head(make_job("run-1")));
  net.run_for(seconds(1));
  const job_store::job& dependent = add_job("run-2", {"run-1"});
  net.run_for(seconds(1));
  EXPECT_FALSE(has_left_table("run-1"));
  EXPECT_TRUE(dependent.waiting());
  EXPECT_TRUE(tracker.is_state_certain(dependent));
}

// If a later leader found a head whose list is missing, it could never determine what the job waits
// for.
TEST_F(waiting_jobs, keep_their_stored_lists_until_no_stored_head_refers_to_them) {
  std::size_t lists_deleted = 0;
  state.on_change = [&](const std::string& key, const json* value) {
    const std::string list_prefix = "gd/dependencies/";
    if (key.rfind(list_prefix, 0) != 0 || value != nullptr) return;
    ++lists_deleted;
    const job_id id(
        key.substr(list_prefix.size(), key.find('/', list_prefix.size()) - list_prefix.size()));
    const json* head = state.peek(job_store::head_key(id));
    EXPECT_TRUE(head == nullptr || !head->contains("more_dependencies")) << key;
  };
  job_store::job& first = add_job("run-1");
  job_store::job& cancelled_dependency = add_job("run-2");
  add_job_with_stored_list("run-11", {"run-1"});
  add_job_with_stored_list("run-12", {"run-2"});
  job_store::job& cancelled_by_user = add_job_with_stored_list("run-13", {"run-1"});
  net.run_for(seconds(2));
  end_job(first, job_status::done);
  end_job(cancelled_dependency, job_status::cancelled);
  end_job(cancelled_by_user, job_status::cancelled);
  net.run_for(seconds(8));
  EXPECT_FALSE(table.find("run-11")->waiting());
  EXPECT_TRUE(has_left_table("run-12"));
  EXPECT_TRUE(has_left_table("run-13"));
  EXPECT_EQ(lists_deleted, 3U);
}

TEST_F(waiting_jobs, with_malformed_lists_do_not_affect_others) {
  job_store::job& first = add_job("run-1");
  const job_store::job& with_malformed_list =
      add_job_with_stored_list("run-11", {"run-1"}, {{"not", "a list"}});
  const job_store::job& intact = add_job("run-12", {"run-1"});
  net.run_for(seconds(2));
  EXPECT_FALSE(tracker.is_state_certain(with_malformed_list));
  EXPECT_TRUE(tracker.is_state_certain(intact));
  end_job(first, job_status::done);
  net.run_for(seconds(2));
  EXPECT_FALSE(intact.waiting());
  EXPECT_TRUE(with_malformed_list.waiting());
  write("gd/dependencies/run-11/0", json::array({"run-1"}));
  net.run_for(seconds(15));
  EXPECT_FALSE(with_malformed_list.waiting()) << "after the list has been repaired";
}

TEST_F(waiting_jobs, become_ready_although_many_other_records_are_malformed) {
  constexpr int malformed = 40;
  for (int i = 0; i < malformed; ++i) {
    const std::string number = std::to_string(100 + i);
    write("gd/final/run-" + number, {{"status", "odd"}});
    add_job(job_id("run-5" + number), {job_id("run-" + number)});
  }
  write("gd/final/run-900", {{"status", "done"}, {"done", 1}});
  const job_store::job& intact = add_job("run-950", {"run-900"});
  net.run_for(seconds(5));
  EXPECT_FALSE(intact.waiting());
}

// After a failover thousands of waiting jobs may depend on jobs that ended long ago. Users who
// query them get a retry response until the final records are read, so reading them must not take
// one request per job.
TEST_F(waiting_jobs, reach_a_certain_state_with_few_requests_even_if_there_are_thousands) {
  constexpr int count = 3000;
  state.set_limits({1e9, 1e9, 1e3, 1 << 20});
  for (int i = 0; i < count; ++i) {
    const json record = {{"status", i % 2 == 0 ? "done" : "cancelled"}, {"done", 1}};
    write("gd/final/run-" + std::to_string(10000 + i), record);
  }
  net.run_for(seconds(30));
  state.set_limits(limits);
  const std::size_t requests_before = state.requests_received();
  const time_point started_at = net.now();
  add_job("run-1");
  for (int i = 0; i < count; ++i)
    add_job(numbered_job(20000 + i), {"run-1", numbered_job(10000 + i)});
  std::size_t uncertain = count;
  while (uncertain > 0 && net.now() - started_at < seconds(60)) {
    net.run_for(milliseconds(200));
    uncertain = 0;
    for (int i = 0; i < count; ++i) {
      const auto* job = table.find(numbered_job(20000 + i));
      uncertain += job != nullptr && job->active() && !tracker.is_state_certain(*job);
    }
  }
  EXPECT_EQ(uncertain, 0U);
  EXPECT_LT(net.now() - started_at, seconds(10));
  EXPECT_LT(state.requests_received() - requests_before, 300U);
}

namespace {

/// A cascade of cancellations that exceeds the size of a transaction and the number of writes per
/// second: half of the jobs wait for the root, and each of the others waits for one of these.
class wide_cancellation_cascade : public waiting_jobs {
 protected:
  static constexpr int dependent_count = 300;
  static job_id dependent(int index) { return numbered_job(1000 + index); }

  /// Stores the waiting jobs and loads them into the first leader's table.
  void accept_dependents() {
    for (int i = 0; i < dependent_count; ++i) {
      const job_id dependency =
          i < dependent_count / 2 ? job_id("run-1") : dependent(i - dependent_count / 2);
      const json head = job_store::encode_head(make_waiting_job(dependent(i), {dependency}));
      const std::string key = job_store::head_key(dependent(i));
      client.txn({}, {kvstore::operation::put(key, head)}, [](const kvstore::result&) {});
      net.run_for(milliseconds(40));
      leader.load_job({key, head, {}}, net.now());
    }
    client.list("gd/job/", "", [this](const kvstore::result& page) {
      for (const auto& entry : page.entries)
        table.find(*job_store::job_of_head_key(entry.key))->set_version(0, entry.version);
    });
    net.run_for(seconds(2));
  }
  int cancelled_dependent_count() const {
    int cancelled = 0;
    for (int i = 0; i < dependent_count; ++i)
      cancelled += state.peek(job_store::final_key(dependent(i))) != nullptr;
    return cancelled;
  }
};

}  // namespace

TEST_F(wide_cancellation_cascade, is_completed_by_the_next_leader_if_the_first_one_fails_midway) {
  job_store::job& root = add_job("run-1");
  accept_dependents();
  end_job(root, job_status::cancelled);
  net.run_for(seconds(2));
  const int cancelled_by_first_leader = cancelled_dependent_count();
  EXPECT_GT(cancelled_by_first_leader, 0);
  EXPECT_LT(cancelled_by_first_leader, dependent_count);

  tracking_leader next_leader(net, "node-1", limits);
  client.set_write_share(0);  // simulates the failure of the first leader: it no longer writes
  net.run_for(seconds(3));
  next_leader.load_heads("");
  net.run_for(seconds(40));

  EXPECT_EQ(cancelled_dependent_count(), dependent_count);
}

}  // namespace gingerdrift::testing
