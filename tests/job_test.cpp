// Tests the operations of a job, the errors of the record codec for malformed records, and the
// parsing of record keys.
#include <gtest/gtest.h>

#include "job_builder.hpp"
#include "job_store/record_codec.hpp"
#include "job_store/record_keys.hpp"

namespace gingerdrift::testing {

namespace {

using job_store::attempt_phase;
using job_store::failure_verdict;
using job_store::job_status;
using job_store::record_error;
using json = nlohmann::json;

const time_point now{seconds(1000)};

job_store::job make_gang(std::uint32_t tasks) {
  job_store::job_spec spec = make_spec("run-1", tasks);
  spec.gang = true;
  return {std::move(spec), 0};
}

/// Returns the field that is malformed in a head record; "none" if the record is valid.
std::string malformed_field(const json& head) {
  try {
    job_store::decode_head(head, store_revision(1));
  } catch (const record_error& error) {
    return error.field();
  }
  return "none";
}

}  // namespace

TEST(job, gives_each_attempt_at_a_task_a_new_number) {
  job_store::job job = make_job("run-1", 2);
  EXPECT_EQ(job.allocate_attempt_number(0), attempt_number(1));
  EXPECT_EQ(job.allocate_attempt_number(0), attempt_number(2));
  EXPECT_EQ(job.allocate_attempt_number(1), attempt_number(3)) << "tasks of a unit share a counter";
}

TEST(job, gives_all_members_of_a_gang_attempt_the_same_number) {
  job_store::job gang = make_gang(2);
  EXPECT_EQ(gang.allocate_attempt_number(0), attempt_number(1));
  EXPECT_EQ(gang.allocate_attempt_number(1), attempt_number(1));
  EXPECT_EQ(gang.allocate_attempt_number(1), attempt_number(1))
      << "a replacement member gets the same number";
  gang.reset_gang_attempt();
  EXPECT_EQ(gang.allocate_attempt_number(0), attempt_number(2));
}

TEST(job, of_a_gang_is_done_when_its_first_member_succeeds) {
  job_store::job gang = make_gang(3);
  place_first_attempt(gang, 1, "n-1");
  gang.finish_task(1);
  EXPECT_TRUE(gang.attempts().empty());
  EXPECT_TRUE(gang.complete_if_all_tasks_done());
  EXPECT_EQ(gang.status(), job_status::done);
  EXPECT_TRUE(gang.ready_to_finalize());
}

TEST(job, does_not_become_done_after_cancellation) {
  job_store::job job = make_job("run-1");
  place_first_attempt(job, 0, "n-1");
  job.cancel();
  EXPECT_FALSE(job.ready_to_finalize()) << "one of its tasks may still be running";
  job.finish_task(0);
  EXPECT_FALSE(job.complete_if_all_tasks_done());
  EXPECT_EQ(job.status(), job_status::cancelled);
  EXPECT_TRUE(job.ready_to_finalize());
}

TEST(job, records_when_a_task_started_running) {
  job_store::job job = make_job("run-1");
  place_first_attempt(job, 0, "n-1");
  job.cache_view(std::make_shared<admission::job_view>());
  job.update_phase(0, attempt_phase::running, now);
  EXPECT_EQ(job.view(), nullptr) << "the cached view must be discarded";
  job.update_phase(0, attempt_phase::running, now + seconds(1));
  EXPECT_EQ(job.attempts().at(0).running_since, now);
  EXPECT_TRUE(job.gang_started());
}

TEST(job, increases_backoff_each_time_it_fails_on_several_machines) {
  const job_store::failure_policy policy{.distinct_machines = 2,
                                         .pause = milliseconds(500),
                                         .first_backoff = seconds(5),
                                         .backoff_limit = seconds(8),
                                         .doubling_limit = 5};
  job_store::job job = make_job("run-1");
  EXPECT_EQ(job.record_failure("n-1", now, policy), failure_verdict::undecided);
  EXPECT_EQ(job.not_before(), now + milliseconds(500));
  EXPECT_EQ(job.record_failure("n-1", now, policy), failure_verdict::undecided);
  EXPECT_EQ(job.record_failure("n-2", now, policy), failure_verdict::job_at_fault);
  EXPECT_EQ(job.not_before(), now + seconds(5));
  EXPECT_TRUE(job.failures_by_machine().empty());
  job.record_failure("n-1", now, policy);
  job.record_failure("n-2", now, policy);
  EXPECT_EQ(job.not_before(), now + seconds(8));
  job.finish_task(0);
  EXPECT_EQ(job.backoff_rounds(), 0U);
}

TEST(record_codec, reports_which_field_is_malformed) {
  const json head = job_store::encode_head(make_job("run-1", 2));
  EXPECT_EQ(malformed_field(head), "none");
  for (const char* field : {"created", "unit", "status", "next_try", "change", "spec"}) {
    json without = head;
    without.erase(field);
    EXPECT_EQ(malformed_field(without), field);
  }
  json wrong = head;
  wrong["done"] = {{1, 2}};
  EXPECT_EQ(malformed_field(wrong), "done") << "the job has no task 2";
  wrong = head;
  wrong["attempts"] = {{2, 1, "n-1", 1}};
  EXPECT_EQ(malformed_field(wrong), "attempts");
  wrong = head;
  wrong["spec"].erase("rules");
  EXPECT_EQ(malformed_field(wrong), "rules");
}

TEST(record_codec, rejects_dependency_lists_that_contain_anything_but_names) {
  EXPECT_EQ(job_store::decode_dependency_part(json::array({"run-1", "run-2"})),
            (std::vector<job_id>{"run-1", "run-2"}));
  for (const json& wrong : {json("run-1"), json::array({1}), json(nullptr)})
    EXPECT_THROW(job_store::decode_dependency_part(wrong), record_error) << wrong;
}

TEST(record_keys, are_parsed_into_job_and_unit) {
  EXPECT_EQ(job_store::unit_of_key("gd/job/run-1"), (job_store::unit_id{"run-1", 0}));
  EXPECT_EQ(job_store::unit_of_key("gd/part/run-1/12"), (job_store::unit_id{"run-1", 12}));
  for (const char* other : {"gd/job/", "gd/part/run-1", "gd/part/run-1/x", "gd/final/run-1"})
    EXPECT_FALSE(job_store::unit_of_key(other).has_value()) << other;
  EXPECT_EQ(job_store::job_of_final_key("gd/final/run-1"), std::optional<job_id>("run-1"));
  EXPECT_FALSE(job_store::job_of_final_key("gd/job/run-1").has_value());
}

}  // namespace gingerdrift::testing
