// Runs controllers against a store that keeps few changes, as the real one does on a busy site.
#include <gtest/gtest.h>

#include <map>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {
constexpr std::size_t history_length = 20;
constexpr int unrelated_changes = 2 * history_length;
constexpr auto observed_time = seconds(60);
/// A watch that makes no progress may be retried once a second.
constexpr std::size_t max_requests = 60;

/// Counts, by sender, the requests that read or watch the keys of a prefix.
class read_counter {
 public:
  read_counter(sim_net& net, std::string prefix) : prefix_(std::move(prefix)) {
    net.on_sent = [this](const sent_message& message) {
      if (message.request == nullptr || message.request->method != "GET") return;
      if (message.request->target.find(prefix_) != std::string::npos) ++counts_[message.sender];
    };
  }
  std::size_t of(const std::string& host) const {
    const auto found = counts_.find(host);
    return found == counts_.end() ? 0 : found->second;
  }

 private:
  std::string prefix_;
  std::map<std::string, std::size_t> counts_;
};
}  // namespace

TEST(watch_compaction, followers_do_not_poll_the_leader_key_once_its_version_is_compacted) {
  sim_service service(1);
  service.state.set_history_length(history_length);
  service.net.run_for(seconds(10));
  const auto leader = service.leader();
  ASSERT_TRUE(leader);
  for (int i = 0; i < unrelated_changes; ++i) service.write_record("unrelated", {{"number", i}});

  const read_counter reads(service.net, "gd/leader");
  service.net.run_for(observed_time);
  ASSERT_EQ(service.leader(), leader);
  for (std::size_t node = 0; node < service.controllers(); ++node)
    EXPECT_LE(reads.of(node_host(node)), max_requests) << node_host(node);
}

TEST(watch_compaction, a_leader_finds_new_jobs_although_its_watch_was_compacted) {
  sim_service service(1);
  service.state.set_history_length(history_length);
  service.net.run_for(seconds(10));
  ASSERT_TRUE(service.leader());
  service.net.cut(node_host(*service.leader()), "state", seconds(12), sim_net::cut_mode::refuse);
  for (int i = 0; i < unrelated_changes; ++i) service.write_record("unrelated", {{"number", i}});
  service.site.submit(array_job("run-000001", 1, 5));
  EXPECT_TRUE(service.run_until_all_finished(seconds(120)));
  EXPECT_EQ(service.violations(), "");
}

}  // namespace gingerdrift::testing
