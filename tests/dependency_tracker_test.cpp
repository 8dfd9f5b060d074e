// What a leader derives for jobs that wait: only from what is stored.
#include <gtest/gtest.h>

#include "dependencies/tracker.hpp"
#include "job_builder.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

using job_store::job_status;

const kvstore::condition leader_key{"gd/leader", {}};
constexpr kvstore::limit_shares half_for_users{.requests = 1, .writes = 1, .user_requests = 0.5};

/// A leader that holds jobs and tracks their dependencies; it remembers no job that is over.
class tracking_leader final : private dependencies::tracker_owner {
 public:
  tracking_leader(sim_net& net, const std::string& node, const kvstore::service_limits& limits)
      : runtime_(net, node),
        client(runtime_, "state:1", limits, std::nullopt, half_for_users),
        table(runtime_, client, leader_key, limits, owner()),
        tracker(runtime_, client, table, *this) {}

  void take_job(const kvstore::entry& head, time_point) override {
    tracker.job_added(table.insert(job_store::read_head(head.value, head.version)));
  }
  /// Reads the heads behind that key, page after page, and then starts.
  void load(const std::string& after) {
    client.list("gd/job/", after, [this](const kvstore::result& page) {
      for (const auto& entry : page.entries) take_job(entry, page.sent);
      if (page.more) return load(page.entries.back().key);
      tracker.start();
    });
  }

 private:
  job_store::job_table::hooks owner() {
    auto owner = idle_owner();
    owner.stored = [this](const job_id& id) { tracker.job_stored(id); };
    owner.gone = [this](const job_id& id, const job_store::terminal_state& end) {
      tracker.job_finalized(id, end);
    };
    return owner;
  }
  std::optional<job_store::terminal_state> cached_terminal_state(const job_id&) override {
    return std::nullopt;
  }
  void dependencies_changed() override { ++changes; }

  sim_runtime runtime_;

 public:
  kvstore::client client;
  std::size_t changes = 0;  // that the tracker told of
  job_store::job_table table;
  dependencies::tracker tracker;
};

class waiting_jobs : public ::testing::Test {
 protected:
  waiting_jobs() {
    state.set_limits(limits);
    tracker.start();
  }
  job_store::job& add(const job_id& id, std::vector<job_id> dependencies = {}) {
    job_store::job& job = table.insert(
        dependencies.empty() ? make_job(id) : make_waiting_job(id, std::move(dependencies)));
    tracker.job_added(job);
    return job;
  }
  void write(const std::string& key, const json& value) {
    client.txn({}, {kvstore::operation::put(key, value)}, [](const kvstore::result&) {});
    net.run_for(milliseconds(25));
  }
  /// A job whose head names its dependencies' list, which is stored beside it.
  job_store::job& add_with_list(const job_id& id, const std::vector<job_id>& dependencies,
                                const json& stored_list = nullptr) {
    job_store::job job = make_job(id);
    job.wait_for({}, {.prefix = "gd/dependencies/" + id.str() + "/", .count = 1});
    write("gd/dependencies/" + id.str() + "/0",
          stored_list.is_null() ? json(texts_of(dependencies)) : stored_list);
    write(job_store::head_key(id), job_store::write_head(job));
    store_revision version;
    client.get(job_store::head_key(id),
               [&](const kvstore::result& found) { version = found.entries.front().version; });
    net.run_for(milliseconds(25));
    job_store::job& stored =
        table.insert(job_store::read_head(*state.peek(job_store::head_key(id)), version));
    tracker.job_added(stored);
    return stored;
  }
  void end(job_store::job& job, job_status status) {
    if (status == job_status::cancelled) {
      job.cancel();
      tracker.job_cancelled(job.spec().id);
    } else {
      finish_all_tasks(job);
    }
    table.finalize(job);
  }
  bool over(const job_id& id) { return table.find(id) == nullptr; }

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

// A leader's memory of an end may be gone with it, and its successor may accept a cancellation.
TEST_F(waiting_jobs, become_ready_only_once_done_is_stored) {
  job_store::job& first = add("run-1");
  const job_store::job& next = add("run-2", {"run-1"});
  state.start_outage(seconds(5));
  end(first, job_status::done);
  tracker.job_stored("run-1");  // an earlier change of it, not its end
  const job_store::job& late = add("run-3", {"run-1"});
  net.run_for(seconds(4));
  EXPECT_TRUE(next.waiting());
  EXPECT_TRUE(late.waiting()) << "though it came when the leader knew of the end";
  net.run_for(seconds(4));
  EXPECT_TRUE(over("run-1"));
  EXPECT_FALSE(next.waiting());
  EXPECT_NE(next.ready_ms(), 0);
  EXPECT_GT(leader.changes, 0U);
}

// Were they stored as cancelled first, the job itself might still turn out to be done.
TEST_F(waiting_jobs, are_cancelled_only_once_a_dependency_is_stored_as_cancelled) {
  job_store::job& first = add("run-1");
  const job_store::job& next = add("run-2", {"run-1"});
  add("run-3", {"run-2"});
  state.start_outage(seconds(5));
  end(first, job_status::cancelled);
  tracker.job_stored("run-1");  // an earlier change of it, not its end
  const job_store::job& late = add("run-4", {"run-1"});
  net.run_for(seconds(4));
  EXPECT_EQ(next.status(), job_status::active);
  EXPECT_EQ(late.status(), job_status::active) << "though it came when the leader knew";
  net.run_for(seconds(4));
  EXPECT_TRUE(over("run-2"));
  EXPECT_TRUE(over("run-3"));
  EXPECT_TRUE(over("run-4"));
}

// Others may have read the cancellation, and told it, while its acknowledgement is lost.
TEST_F(waiting_jobs, are_not_certain_while_a_cancelled_ancestor_is_unacknowledged) {
  job_store::job& first = add("run-1");
  add("run-2", {"run-1"});
  const job_store::job& last = add("run-3", {"run-2"});
  const job_store::job& other = add("run-4", {"run-5"});
  add("run-5");
  EXPECT_TRUE(tracker.is_state_certain(last));
  state.lose_answers(1, seconds(5));
  end(first, job_status::cancelled);
  net.run_for(seconds(1));
  EXPECT_NE(state.peek("gd/final/run-1"), nullptr);
  EXPECT_EQ(last.status(), job_status::active);
  EXPECT_FALSE(tracker.is_state_certain(last));
  EXPECT_TRUE(tracker.is_state_certain(other));
  net.run_for(seconds(10));
  EXPECT_TRUE(over("run-3"));
}

TEST_F(waiting_jobs, take_dependencies_that_ended_long_ago_from_their_final_records) {
  write("gd/final/run-1", {{"status", "done"}, {"done", 1}});
  write("gd/final/run-2", {{"status", "cancelled"}, {"done", 1}});
  net.run_for(seconds(1));
  const job_store::job& ready = add("run-11", {"run-1"});
  const job_store::job& doomed = add("run-12", {"run-1", "run-2"});
  EXPECT_FALSE(tracker.is_state_certain(ready));
  EXPECT_FALSE(tracker.is_state_certain(doomed));
  net.run_for(seconds(1));
  EXPECT_FALSE(ready.waiting());
  EXPECT_TRUE(over("run-12"));
}

TEST_F(waiting_jobs, take_a_dependency_that_was_accepted_elsewhere_from_its_head) {
  write("gd/job/run-1", job_store::write_head(make_job("run-1")));
  net.run_for(seconds(1));
  const job_store::job& next = add("run-2", {"run-1"});
  net.run_for(seconds(1));
  EXPECT_FALSE(over("run-1"));
  EXPECT_TRUE(next.waiting());
  EXPECT_TRUE(tracker.is_state_certain(next));
}

// A successor that found the head without its list could never tell what the job waits for.
TEST_F(waiting_jobs, keep_their_stored_lists_until_no_stored_head_names_them) {
  std::size_t lists_deleted = 0;
  state.on_change = [&](const std::string& key, const json* value) {
    const std::string lists = "gd/dependencies/";
    if (key.rfind(lists, 0) != 0 || value != nullptr) return;
    ++lists_deleted;
    const job_id id(key.substr(lists.size(), key.find('/', lists.size()) - lists.size()));
    const json* head = state.peek(job_store::head_key(id));
    EXPECT_TRUE(head == nullptr || !head->contains("more_dependencies")) << key;
  };
  job_store::job& first = add("run-1");
  job_store::job& doomed = add("run-2");
  add_with_list("run-11", {"run-1"});
  add_with_list("run-12", {"run-2"});
  job_store::job& called_off = add_with_list("run-13", {"run-1"});
  net.run_for(seconds(2));
  end(first, job_status::done);
  end(doomed, job_status::cancelled);
  end(called_off, job_status::cancelled);
  net.run_for(seconds(8));
  EXPECT_FALSE(table.find("run-11")->waiting());
  EXPECT_TRUE(over("run-12"));
  EXPECT_TRUE(over("run-13"));
  EXPECT_EQ(lists_deleted, 3U);
}

TEST_F(waiting_jobs, with_malformed_lists_do_not_affect_others) {
  job_store::job& first = add("run-1");
  const job_store::job& broken = add_with_list("run-11", {"run-1"}, {{"not", "a list"}});
  const job_store::job& fine = add("run-12", {"run-1"});
  net.run_for(seconds(2));
  EXPECT_FALSE(tracker.is_state_certain(broken));
  EXPECT_TRUE(tracker.is_state_certain(fine));
  end(first, job_status::done);
  net.run_for(seconds(2));
  EXPECT_FALSE(fine.waiting());
  EXPECT_TRUE(broken.waiting());
  write("gd/dependencies/run-11/0", json::array({"run-1"}));
  net.run_for(seconds(15));
  EXPECT_FALSE(broken.waiting()) << "once somebody has repaired it";
}

TEST_F(waiting_jobs, are_read_however_many_other_records_are_malformed) {
  constexpr int malformed = 40;
  for (int i = 0; i < malformed; ++i) {
    const std::string number = std::to_string(100 + i);
    write("gd/final/run-" + number, {{"status", "odd"}});
    add(job_id("run-5" + number), {job_id("run-" + number)});
  }
  write("gd/final/run-900", {{"status", "done"}, {"done", 1}});
  const job_store::job& fine = add("run-950", {"run-900"});
  net.run_for(seconds(5));
  EXPECT_FALSE(fine.waiting());
}

// After a takeover each of them names a job that ended long ago. Their users are told to come back
// until these are read, so that it must not take a request each.
TEST_F(waiting_jobs, become_certain_by_the_thousand_after_few_requests) {
  constexpr int count = 3000;
  state.set_limits({1e9, 1e9, 1e3, 1 << 20});
  for (int i = 0; i < count; ++i) {
    const json record = {{"status", i % 2 == 0 ? "done" : "cancelled"}, {"done", 1}};
    write("gd/final/run-" + std::to_string(10000 + i), record);
  }
  net.run_for(seconds(30));
  state.set_limits(limits);
  const std::size_t before = state.requests_received();
  const time_point begun = net.now();
  add("run-1");
  for (int i = 0; i < count; ++i) add(numbered_job(20000 + i), {"run-1", numbered_job(10000 + i)});
  std::size_t uncertain = count;
  while (uncertain > 0 && net.now() - begun < seconds(60)) {
    net.run_for(milliseconds(200));
    uncertain = 0;
    for (int i = 0; i < count; ++i) {
      const auto* job = table.find(numbered_job(20000 + i));
      uncertain += job != nullptr && job->active() && !tracker.is_state_certain(*job);
    }
  }
  EXPECT_EQ(uncertain, 0U);
  EXPECT_LT(net.now() - begun, seconds(10));
  EXPECT_LT(state.requests_received() - before, 300U);
}

namespace {

/// A cascade of cancellations that is wider than a transaction and than a second's writes: half of
/// the jobs wait for the root, and each of the others for one of those.
class wide_cascade : public waiting_jobs {
 protected:
  static constexpr int width = 300;
  static job_id member(int index) { return numbered_job(1000 + index); }

  /// Stores the jobs that wait, and takes them into the first leader's table.
  void accept_members() {
    for (int i = 0; i < width; ++i) {
      const job_id dependency = i < width / 2 ? job_id("run-1") : member(i - width / 2);
      const json head = job_store::write_head(make_waiting_job(member(i), {dependency}));
      const std::string key = job_store::head_key(member(i));
      client.txn({}, {kvstore::operation::put(key, head)}, [](const kvstore::result&) {});
      net.run_for(milliseconds(40));
      leader.take_job({key, head, {}}, net.now());
    }
    client.list("gd/job/", "", [this](const kvstore::result& page) {
      for (const auto& entry : page.entries)
        table.find(*job_store::job_of_head_key(entry.key))->set_version(0, entry.version);
    });
    net.run_for(seconds(2));
  }
  int cancelled_members() const {
    int cancelled = 0;
    for (int i = 0; i < width; ++i)
      cancelled += state.peek(job_store::final_key(member(i))) != nullptr;
    return cancelled;
  }
};

}  // namespace

TEST_F(wide_cascade, is_completed_by_a_successor_when_its_leader_ends_in_the_middle) {
  job_store::job& root = add("run-1");
  accept_members();
  end(root, job_status::cancelled);
  net.run_for(seconds(2));
  const int cancelled_by_first_leader = cancelled_members();
  EXPECT_GT(cancelled_by_first_leader, 0);
  EXPECT_LT(cancelled_by_first_leader, width);

  tracking_leader next_leader(net, "node-1", limits);
  client.set_write_share(0);  // the first leader is gone
  net.run_for(seconds(3));
  next_leader.load("");
  net.run_for(seconds(40));

  EXPECT_EQ(cancelled_members(), width);
}

}  // namespace gingerdrift::testing
