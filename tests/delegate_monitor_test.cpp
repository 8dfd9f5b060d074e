// Tests that worker leases expire only if no lease delegate may have renewed them.
#include "leader/delegate_monitor.hpp"

#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class delegate_monitor_test : public leader_parts {
 protected:
  void poll_for(seconds span) {
    for (seconds passed(0); passed < span; passed += seconds(1)) {
      monitor.poll();
      net.run_for(seconds(1));
    }
  }
  void write_delegate(bool active) {
    store_record("gd/deputy/node-1", {{"zone", "a"}, {"active", active}});
  }
  /// Adds a job with a stored attempt on a machine that sends no heartbeats.
  const job_store::job& job_on_unresponsive_machine() {
    auto& job = add_job("run-1", 1);
    job_store::attempt attempt;
    attempt.number = attempt_number(1);
    attempt.machine = "m-1";
    job.restore_attempt(0, attempt);
    workers.adopt(job);
    return job;
  }
  /// Longer than a worker lease, including clock drift, plus the time for which a deposed leader
  /// may still renew leases.
  static constexpr seconds expiry{32};
  leader::delegate_monitor monitor{store, workers};
};
}  // namespace

TEST_F(delegate_monitor_test, a_lease_expires_if_no_delegate_is_active) {
  const auto& job = job_on_unresponsive_machine();
  poll_for(seconds(25));
  EXPECT_EQ(job.attempts().size(), 1U) << "a deposed leader may have renewed it";
  poll_for(expiry - seconds(25));
  EXPECT_TRUE(job.attempts().empty());
}

TEST_F(delegate_monitor_test, no_lease_expires_while_a_delegate_is_active) {
  const auto& job = job_on_unresponsive_machine();
  write_delegate(true);
  poll_for(expiry * 2);
  EXPECT_EQ(monitor.active_zones(), std::set<zone_name>({"a"}));
  EXPECT_EQ(job.attempts().size(), 1U);
}

TEST_F(delegate_monitor_test,
       a_lease_expires_only_after_its_full_duration_since_a_delegate_was_active) {
  const auto& job = job_on_unresponsive_machine();
  write_delegate(true);
  poll_for(expiry);
  write_delegate(false);
  poll_for(seconds(20));
  EXPECT_TRUE(monitor.active_zones().empty());
  EXPECT_EQ(job.attempts().size(), 1U);
  poll_for(seconds(10));
  EXPECT_TRUE(job.attempts().empty());
}

// A changed version of a delegate's record shows that the delegate was active between two reads.
TEST_F(delegate_monitor_test, detects_a_delegate_that_was_active_only_between_two_reads) {
  const auto& job = job_on_unresponsive_machine();
  write_delegate(false);
  poll_for(seconds(20));
  write_delegate(true);
  write_delegate(false);
  poll_for(seconds(20));
  EXPECT_EQ(job.attempts().size(), 1U);
  poll_for(seconds(10));
  EXPECT_TRUE(job.attempts().empty());
}

TEST_F(delegate_monitor_test, a_record_that_can_not_be_decoded_counts_as_active) {
  store_record("gd/deputy/node-1", {{"zone", "b"}});
  poll_for(seconds(2));
  EXPECT_EQ(monitor.active_zones(), std::set<zone_name>({"b"}));
}

}  // namespace gingerdrift::testing
