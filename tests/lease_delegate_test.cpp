#include "workers/lease_delegate.hpp"

#include <gtest/gtest.h>

#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {

/// Fixture with a controller in zone b that is cut off from the leader in zone a, and a worker that
/// runs a task of job run-1.
class lease_delegate : public ::testing::Test {
 protected:
  lease_delegate()
      : state(net, "state:1"),
        runtime(net, "node-2"),
        store(runtime, "state:1", {100, 50, 8, 24}, std::nullopt, {1, 1, 0.5}) {
    put("gd/leader", {{"node", "node-0"}, {"token", 4}, {"incarnation", "x"}});
    put("gd/job/run-1", {{"status", "active"}});
    net.run_for(seconds(1));
  }
  void put(const std::string& key, const json& value) {
    store.txn({}, {{key, value, 0, false}}, [](const kvstore::result&) {});
  }
  void store_job_status(const char* status) {
    put("gd/job/run-1", {{"status", status}});
    net.run_for(milliseconds(300));
  }
  static workers::lease_delegate::hooks cut_off() {
    return {.leader =
                [] {
                  return workers::leader_contact{"node-0", false};
                },
            .zone_of = [](const node_name&) { return zone_name("a"); }};
  }
  /// Sends a heartbeat that lists the task as running, and returns the answer.
  net::response answer_of(workers::lease_delegate& delegate) {
    workers::worker_heartbeat heartbeat;
    heartbeat.machine = "m";
    heartbeat.pool = {"g8", "b", false};
    heartbeat.tasks = {{"run-1", 0, attempt_number(1), job_store::attempt_phase::running,
                        workers::exit_cause::none}};
    net::response answer;
    delegate.handle(heartbeat, [&](const net::response& reply) { answer = reply; });
    net.run_for(milliseconds(1700));
    return answer;
  }

  sim_net net{1};
  state_service state;
  sim_runtime runtime;
  kvstore::client store;
};

}  // namespace

// An answer renews a worker's lease and thereby lets all of its tasks run on. So the job status
// that a delegate relies on may be no older than the time allowed for a cancellation less that
// lease.
TEST_F(lease_delegate, job_status_is_no_older_than_a_cancellation_allows) {
  for (const bool little_time : {false, true}) {
    const duration max_age = little_time ? duration(milliseconds(300)) : duration(seconds(5));
    workers::lease_delegate delegate(runtime, store, {"node-2", "b", max_age}, cut_off());
    ASSERT_EQ(answer_of(delegate).status, 200);
    store_job_status("cancelled");
    const auto answer = answer_of(delegate);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body.find("stop") != std::string::npos, little_time);
    store_job_status("active");
  }
  workers::lease_delegate without_time(runtime, store, {"node-2", "b", duration::zero()},
                                       cut_off());
  EXPECT_EQ(answer_of(without_time).status, 503)
      << "without time beyond the lease the delegate renews no leases";
}

}  // namespace gingerdrift::testing
