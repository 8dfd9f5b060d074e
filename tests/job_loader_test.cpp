// Tests how jobs are loaded from the store into the leader's job table.
#include "leader/job_loader.hpp"

#include "leader_parts.hpp"

namespace gingerdrift::testing {

namespace {
class job_loader_test : public leader_parts {
 protected:
  void store_job(const job_id& id, const std::string& team = "red") {
    auto spec = spec_of(id, 1);
    spec.team = team;
    store_record(job_store::head_key(id), job_store::encode_head({std::move(spec), 0}));
  }
  void recover() {
    loader.start();
    net.run_for(seconds(1));
    ASSERT_TRUE(loader.is_recovered());
  }
  int times_recovered = 0;
  std::set<job_id> ended;
  leader::job_loader loader{
      context,
      store,
      {.recovered = [this] { ++times_recovered; },
       .jobs_changed = [] {},
       .cached_terminal_state =
           [this](const job_id& id) -> std::optional<job_store::terminal_state> {
         if (ended.count(id) == 0) return std::nullopt;
         return job_store::try_decode_final({{"status", "done"}, {"done", 1U}});
       }}};
};
}  // namespace

TEST_F(job_loader_test, reads_all_records_and_reports_recovery_once) {
  for (int i = 0; i < 300; ++i)
    store_record("gd/job/run-" + std::to_string(i),
                 job_store::encode_head(new_job(job_id("run-" + std::to_string(i)), 1)));
  recover();
  EXPECT_EQ(jobs.all().size(), 300U);
  EXPECT_EQ(times_recovered, 1);
}

TEST_F(job_loader_test, retries_after_an_outage_of_the_store) {
  store_job("run-1");
  state.start_outage(seconds(2));
  loader.start();
  net.run_for(seconds(1));
  EXPECT_FALSE(loader.is_recovered());
  net.run_for(seconds(3));
  EXPECT_TRUE(loader.is_recovered());
  EXPECT_NE(jobs.find("run-1"), nullptr);
}

TEST_F(job_loader_test, skips_records_that_are_malformed_or_of_unknown_teams) {
  store_record("gd/job/run-1", {{"spec", 3}});
  store_job("run-2", "nobody");
  store_job("run-3");
  recover();
  EXPECT_EQ(jobs.find("run-1"), nullptr);
  EXPECT_EQ(jobs.find("run-2"), nullptr);
  EXPECT_NE(jobs.find("run-3"), nullptr);
}

TEST_F(job_loader_test, the_watch_finds_a_job_that_was_not_announced) {
  recover();
  store_job("run-1");
  net.run_for(seconds(3));
  EXPECT_NE(jobs.find("run-1"), nullptr);
}

TEST_F(job_loader_test, an_announced_job_is_loaded_immediately) {
  recover();
  store_job("run-1");
  loader.fetch("run-1");
  net.run_for(milliseconds(50));
  EXPECT_NE(jobs.find("run-1"), nullptr);
}

TEST_F(job_loader_test, an_announcement_before_recovery_is_ignored) {
  loader.fetch("run-1");
  net.run_for(seconds(1));
  EXPECT_EQ(state.requests_received(), 0U);
}

TEST_F(job_loader_test, does_not_load_a_job_that_is_known_to_have_ended) {
  ended.insert("run-1");
  store_job("run-1");
  recover();
  loader.fetch("run-1");
  net.run_for(seconds(1));
  EXPECT_EQ(jobs.find("run-1"), nullptr);
}

}  // namespace gingerdrift::testing
