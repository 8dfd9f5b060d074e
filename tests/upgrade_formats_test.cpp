// Checks that the present version and each former version read what the other writes. The tests run
// the code of the former versions, which is built from the repository's history (tests/former).
#include <gtest/gtest.h>

#include "api/codec.hpp"
#include "former_version.hpp"
#include "job_store/job.hpp"
#include "job_store/placement_log.hpp"
#include "peers/codec.hpp"
#include "support/sim_site.hpp"

namespace gingerdrift::testing {

namespace {

constexpr std::size_t value_bytes = 7000;  // the largest value written to the store

/// Returns a submission: a gang bound to one zone, or an array that may use spot machines.
sim_job submission(std::uint32_t tasks, bool gang) {
  sim_job request = basic_job("run-000412", "red", tasks, 10);
  request.gang = gang;
  request.one_zone = gang;
  request.spot = !gang;
  request.zone = gang ? "b" : "";
  request.priority = "high";
  return request;
}

/// Returns a job as a controller accepts it from `submission`.
job_store::job accepted_job(std::uint32_t tasks, bool gang = false) {
  return job_store::create_job(api::parse_submission(submission(tasks, gang).body()).spec, 1234567,
                               value_bytes);
}

/// Marks every third task as done and places an attempt of each other task on a machine.
void add_attempts(job_store::job& job) {
  for (std::uint32_t task = 0; task < job.spec().tasks; ++task) {
    if (task % 3 == 0) {
      job.restore_done(task, task);
    } else {
      job.place_attempt(task, attempt_number(task + 1),
                        machine_name("n-" + std::to_string(100000 + task)), worker_incarnation(7));
    }
  }
  for (std::size_t unit = 0; unit < job.units().size(); ++unit)
    job.restore_next_attempt(unit, attempt_number(job.spec().tasks + 1));
}

/// Gives the job a terminal status, regardless of the state of its tasks.
void end_as(job_store::job& job, job_store::job_status status) {
  job.restore_end(
      job_store::decode_final({{"status", job_store::status_name(status)}, {"done", 0U}}));
}

/// Returns the job's part records as they are stored, without the head.
std::vector<std::string> parts_of(const job_store::job& job) {
  std::vector<std::string> parts;
  for (std::size_t unit = 1; unit < job.units().size(); ++unit)
    parts.push_back(job_store::encode_part(job, unit).dump());
  return parts;
}

}  // namespace

/// Format checks with the former version as the test parameter.
class upgrade_formats : public ::testing::TestWithParam<const former_version::release*> {
 protected:
  const former_version::release& former = *GetParam();
};
INSTANTIATE_TEST_SUITE_P(with, upgrade_formats, ::testing::ValuesIn(former_version::all_releases()),
                         [](const auto& test) { return test.param->name(); });

TEST_P(upgrade_formats, former_version_rewrites_records_without_dependencies_unchanged) {
  for (const std::uint32_t tasks : {1U, 16U, 17U, 60U, 170U, 500U, 5000U}) {
    for (const auto status : {job_store::job_status::active, job_store::job_status::done,
                              job_store::job_status::cancelled}) {
      job_store::job job = accepted_job(tasks, tasks == 16);
      add_attempts(job);
      if (status != job_store::job_status::active) end_as(job, status);
      const json head = job_store::encode_head(job);
      const auto parts = parts_of(job);
      std::vector<std::string> rewritten_parts;
      const auto rewritten = former.rewrite_head(head.dump(), parts, rewritten_parts);
      ASSERT_TRUE(rewritten.has_value()) << head;
      EXPECT_EQ(json::parse(*rewritten), head);
      EXPECT_EQ(rewritten_parts, parts);
    }
  }
}

TEST_P(upgrade_formats, records_that_the_former_version_accepts_are_read_and_written_unchanged) {
  for (const double value_kb : {2.0, 8.0, 32.0}) {
    for (const std::uint32_t tasks : {1U, 40U, 100U, 300U}) {
      const auto text = former.accept(submission(tasks, false).body(), 987654, value_kb);
      job_store::job job = job_store::decode_head(json::parse(text), store_revision(5));
      EXPECT_EQ(job.created_ms(), 987654);
      EXPECT_FALSE(job.waiting());
      EXPECT_EQ(job.queued_ms(), job.created_ms());
      EXPECT_EQ(job.spec().tasks, tasks);
      EXPECT_EQ(job_store::encode_head(job), json::parse(text)) << "rewritten unchanged";
    }
  }
}

// When its dependencies are done, a job's record is that of an ordinary job with one additional
// field. The version before dependencies drops this field.
TEST_P(upgrade_formats, former_version_reads_a_job_that_became_ready) {
  job_store::job job = accepted_job(20);
  job.become_ready(7777777);
  std::vector<std::string> no_parts;
  const auto rewritten = former.rewrite_head(job_store::encode_head(job).dump(), {}, no_parts);
  ASSERT_TRUE(rewritten.has_value());
  json expected = job_store::encode_head(job);
  if (!former.keeps_ready_time()) expected.erase("ready");
  EXPECT_EQ(json::parse(*rewritten), expected);
  EXPECT_EQ(job_store::decode_head(job_store::encode_head(job), store_revision(1)).queued_ms(),
            7777777);
  const auto age_counts_from = former.keeps_ready_time() ? 7777777 : job.created_ms();
  EXPECT_EQ(job_store::decode_head(json::parse(*rewritten), store_revision(1)).queued_ms(),
            age_counts_from);
}

// The version before dependencies must fail to read the record of a waiting job: a leader of that
// version would otherwise start the job at once and drop its dependencies when it rewrites the
// record. Later versions read the record and rewrite it unchanged.
TEST_P(upgrade_formats, former_version_keeps_a_waiting_job_or_rejects_its_record) {
  job_store::job job = accepted_job(20);
  job.wait_for(std::vector<job_id>{"run-1", "run-2"});
  const json head = job_store::encode_head(job);
  std::vector<std::string> no_parts;
  const auto rewritten = former.rewrite_head(head.dump(), {}, no_parts);
  ASSERT_EQ(rewritten.has_value(), former.supports_dependencies());
  if (rewritten) {
    EXPECT_EQ(json::parse(*rewritten), head);
  }
  const job_store::job read = job_store::decode_head(head, store_revision(3));
  EXPECT_TRUE(read.waiting());
  EXPECT_EQ(read.dependencies(), job.dependencies());
  EXPECT_EQ(job_store::encode_head(read), head);
}

TEST_P(upgrade_formats, former_version_rewrites_final_records_unchanged) {
  for (const auto status : {job_store::job_status::done, job_store::job_status::cancelled}) {
    job_store::job job = accepted_job(20);
    end_as(job, status);
    job.restore_done(0, 0);
    const json record = job_store::encode_final(job);
    const auto rewritten = former.rewrite_final(record.dump());
    ASSERT_TRUE(rewritten.has_value());
    EXPECT_EQ(json::parse(*rewritten), record);
  }
}

TEST_P(upgrade_formats, former_version_reads_the_placement_log) {
  job_store::placement_log log(value_bytes);
  log.add({.job = "run-7",
           .task = 3,
           .number = attempt_number(9),
           .machine = "n-000231",
           .incarnation = worker_incarnation(2),
           .unit = 0,
           .change = 11});
  const auto write = log.prepare([](const job_store::placement&) { return false; });
  ASSERT_TRUE(write.has_value());
  EXPECT_EQ(former.read_log_jobs(write->operation.key, write->operation.value.dump()),
            std::vector<std::string>{"run-7"});
}

TEST_P(upgrade_formats, requests_between_controllers_are_encoded_identically) {
  peers::message heartbeat;
  heartbeat.node = "node-1";
  EXPECT_EQ(peers::encode(heartbeat), former.encode_heartbeat("node-1"));
  peers::message announcement;
  announcement.kind = peers::message_kind::job_announced;
  announcement.node = "node-1";
  announcement.job = "run-7";
  EXPECT_EQ(peers::encode(announcement), former.encode_new_job("node-1", "run-7"));
  peers::message request;
  request.kind = peers::message_kind::user_request;
  request.node = "node-1";
  request.method = "POST";
  request.target = "/work";
  request.body = "{}";
  EXPECT_EQ(peers::encode(request), former.encode_user_request("node-1", {"POST", "/work", "{}"}));
  for (const auto& message : {heartbeat, announcement, request})
    EXPECT_EQ(former.recode_message(peers::encode(message)), peers::encode(message));
}

TEST_P(upgrade_formats, answers_between_controllers_are_encoded_identically) {
  const auto answer = former.encode_answer({503, "later", seconds(1), true}, "n", 41);
  const auto read = peers::decode_peer_response(answer);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->status, 503);
  EXPECT_EQ(read->retry_after, 1);
  EXPECT_EQ(read->token, fencing_token(41));
  EXPECT_EQ(peers::encode(*read), answer);
  EXPECT_EQ(former.recode_answer(peers::encode(*read)), answer);
}

}  // namespace gingerdrift::testing
