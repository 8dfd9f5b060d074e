// Tests what the snapshot for a scheduling cycle contains.
#include "leader/snapshot_builder.hpp"

#include "job_builder.hpp"
#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class snapshot_builder_test : public leader_parts {
 protected:
  /// Returns the view of the only job in the next snapshot, or an empty view if it has none.
  admission::job_view view_of_job() {
    const auto snapshot = snapshots.build();
    return snapshot.jobs.empty() ? admission::job_view{} : *snapshot.jobs.front();
  }
  /// Places the first attempt of task 0 of a job on machine m-1, which has sent a heartbeat.
  void place_task(job_store::job& job) {
    send_heartbeat("m-1");
    workers.place(job, 0, "m-1", attempt_number(1));
  }
};
}  // namespace

// A job that waits for its dependencies must not occupy variants, quota or capacity.
TEST_F(snapshot_builder_test, leaves_out_jobs_that_wait_for_dependencies) {
  add_job("run-1", 1).wait_for({"run-9"});
  add_job("run-2", 1);
  const auto snapshot = snapshots.build();
  ASSERT_EQ(snapshot.jobs.size(), 1U);
  EXPECT_EQ(snapshot.jobs.front()->id, "run-2");
}

TEST_F(snapshot_builder_test, lists_as_waiting_only_tasks_that_are_neither_done_nor_placed) {
  auto& job = add_job("run-1", 4);
  place_task(job);
  job.finish_task(2);
  EXPECT_EQ(view_of_job().waiting, (std::vector<std::uint32_t>{1, 3}));
}

// Guards against this failure: hundreds of failing tasks of one job repeatedly occupied capacity
// and image caches.
TEST_F(snapshot_builder_test, shows_one_waiting_task_of_a_job_that_failed_everywhere) {
  auto& job = add_job("run-1", 4);
  const job_store::failure_policy one_machine_is_enough{.distinct_machines = 1};
  ASSERT_EQ(job.record_failure("m-1", net.now(), one_machine_is_enough),
            job_store::failure_verdict::job_at_fault);
  EXPECT_EQ(view_of_job().waiting.size(), 1U);
}

TEST_F(snapshot_builder_test, holds_a_gang_back_while_its_old_attempt_is_stopping) {
  auto& gang = add_job("run-1", 2, true);
  place_task(gang);
  gang.mark_stopping(0, seconds(2));
  EXPECT_TRUE(view_of_job().placement_suspended);
}

TEST_F(snapshot_builder_test,
       holds_a_job_of_one_zone_back_while_the_zone_of_its_machine_is_unknown) {
  auto spec = spec_of("run-1", 2, false);
  spec.one_zone = true;
  auto& job = jobs.insert({spec, 0});
  place_first_attempt(job, 0, "unknown");
  EXPECT_TRUE(view_of_job().placement_suspended);
}

TEST_F(snapshot_builder_test, shows_a_machine_being_released_as_not_ready) {
  send_heartbeat("m-1");
  ASSERT_TRUE(snapshots.build().machines.front()->ready);
  machines.release("m-1", cloud::release_reason::idle);
  EXPECT_FALSE(snapshots.build().machines.front()->ready);
}

// Guards against this failure: a leader rented machines in a partitioned zone, where the new
// machines could not reach it either.
TEST_F(snapshot_builder_test, lists_the_pools_of_a_partitioned_zone_as_refused) {
  zones.update({"a"});
  const std::set<admission::pool> both{{"g8", "a", false}, {"g8", "a", true}};
  EXPECT_EQ(snapshots.build().refused_pools, both);
}

}  // namespace gingerdrift::testing
