// Runs the service in virtual time with many queries and a leader whose event loop is late. The
// simulated controllers have as many connections to one address as real ones.
#include <gtest/gtest.h>

#include "net/client_limits.hpp"
#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {

constexpr std::size_t job_count = 600;
constexpr auto submission_span = seconds(30);
constexpr auto query_span = seconds(150);
/// The protocol's interval between two queries of a user, and the time a user waits for a response.
constexpr auto query_interval = seconds(5);
constexpr auto query_deadline = seconds(2);
/// A job about which no query is answered for this long counts as forgotten.
constexpr auto forgotten_after = seconds(75);

site_parameters limited_connections() {
  const net::client_limits real;
  site_parameters parameters;
  parameters.capacity = 0;  // all jobs stay pending
  parameters.controller_calls = {.concurrent = real.connections_per_address,
                                 .queued = real.queued_calls_per_address};
  return parameters;
}

/// Asks for one job at the same controller again and again, as over a connection that stays open.
class persistent_user {
 public:
  persistent_user(sim_net& net, std::string job, std::string address)
      : net_(net), job_(std::move(job)), address_(std::move(address)), last_answer_(net.now()) {
    net_.after(from_seconds(net_.uniform(0, to_seconds(query_interval))), [this] { ask(); });
  }
  persistent_user(const persistent_user&) = delete;
  persistent_user& operator=(const persistent_user&) = delete;

  /// Returns the longest time without an answer so far.
  duration longest_wait() const { return std::max(longest_wait_, net_.now() - last_answer_); }

 private:
  void ask() {
    net_.call("users", address_, {"GET", "/work/" + job_, ""}, query_deadline,
              [this](const net::response& reply) { receive(reply); });
    net_.after(query_interval, [this] { ask(); });
  }
  void receive(const net::response& reply) {
    if (reply.status != 200) return;
    longest_wait_ = longest_wait();
    last_answer_ = net_.now();
  }

  sim_net& net_;
  std::string job_;
  std::string address_;
  time_point last_answer_;
  duration longest_wait_{};
};

}  // namespace

// The queries of a follower shared few connections to the leader and expired while they waited.
TEST(unanswered_queries, no_job_is_forgotten_at_followers_while_the_leader_responds_late) {
  constexpr auto leader_delay = milliseconds(800);
  sim_service service(1, 3, limited_connections());
  for (std::size_t i = 0; i < job_count; ++i) {
    const sim_job job = array_job(job_name(1000 + i), 1, 1000);
    service.site.users.submit_after(
        from_seconds(service.net.uniform(0, to_seconds(submission_span))), job);
  }
  service.net.run_for(submission_span + seconds(30));
  ASSERT_EQ(service.site.users.count("pending"), job_count);
  const auto leader = service.leader();
  ASSERT_TRUE(leader);

  service.net.delay_requests(node_host(*leader), leader_delay);
  std::vector<std::unique_ptr<persistent_user>> users;
  for (std::size_t i = 0; i < job_count; ++i) {
    const std::size_t follower = (*leader + 1 + i % 2) % service.controllers();
    users.push_back(std::make_unique<persistent_user>(service.net, job_name(1000 + i),
                                                      front_address_of(node_host(follower))));
  }
  service.net.run_for(query_span);

  EXPECT_EQ(service.leader(), leader) << "the leader must not have changed";
  const auto forgotten = std::ranges::count_if(
      users, [](const auto& user) { return user->longest_wait() > forgotten_after; });
  EXPECT_EQ(forgotten, 0) << "of " << job_count << " jobs";
  EXPECT_EQ(service.violations(), "");
}

}  // namespace gingerdrift::testing
