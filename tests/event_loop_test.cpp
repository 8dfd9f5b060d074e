// Tests that no kind of work on the event loop keeps it from the others.
#include <gtest/gtest.h>

#include "net/http_server.hpp"
#include "net/time_sliced_queue.hpp"
#include "net/turn_meter.hpp"
#include "net/uv_runtime.hpp"

namespace gingerdrift::testing {

namespace {

constexpr seconds test_timeout(20);
constexpr int chain_length = 5000;

void spend(duration time) {
  const time_point end = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < end) {
  }
}

/// A timer action that starts the next one without a delay.
class timer_chain {
 public:
  explicit timer_chain(net::uv_runtime& runtime) : runtime_(runtime) {}
  void run_next() {
    if (++length_ == chain_length) return runtime_.stop();
    spend(milliseconds(1));
    runtime_.after(duration::zero(), [this] { run_next(); });
  }
  int length() const { return length_; }

 private:
  net::uv_runtime& runtime_;
  int length_ = 0;
};

}  // namespace

TEST(event_loop, timers_without_delay_do_not_keep_requests_from_being_answered) {
  net::uv_runtime runtime(net::client_limits{});
  net::http_server server(runtime, {}, [](const net::request&, const net::reply_fn& reply) {
    reply({200, "ok", std::nullopt, false});
  });
  std::string address;
  for (int port = 21000; port < 60000 && address.empty(); port += 41) {
    const std::string candidate = "127.0.0.1:" + std::to_string(port);
    if (!server.listen(candidate)) address = candidate;
  }
  timer_chain chain(runtime);
  net::response answer;
  runtime.call(address, {"GET", "/", ""}, test_timeout, [&](const net::response& reply) {
    answer = reply;
    runtime.stop();
  });
  chain.run_next();
  runtime.run();
  EXPECT_EQ(answer.status, 200);
  EXPECT_LT(chain.length(), chain_length);
}

TEST(event_loop, a_burst_of_queued_actions_does_not_keep_timers_from_running) {
  constexpr int actions = 1000;
  net::uv_runtime runtime(net::client_limits{});
  net::time_sliced_queue queue(runtime);
  int finished = 0;
  int finished_at_timer = -1;
  runtime.after(milliseconds(1), [&] { finished_at_timer = finished; });
  for (int i = 0; i < actions; ++i) {
    queue.run([&] {
      spend(milliseconds(1));
      if (++finished == actions) runtime.stop();
    });
  }
  EXPECT_LT(finished, actions);
  runtime.run();
  EXPECT_EQ(finished, actions);
  EXPECT_GE(finished_at_timer, 0);
  EXPECT_LT(finished_at_timer, actions);
}

TEST(event_loop, the_busy_time_of_a_turn_does_not_include_the_wait_for_events) {
  constexpr auto waited = seconds(3);
  net::uv_runtime runtime(net::client_limits{});
  duration longest{};
  duration total{};
  runtime.observe_turns([&](duration busy) {
    longest = std::max(longest, busy);
    total += busy;
  });
  constexpr auto work = milliseconds(30);
  runtime.after(milliseconds(1), [&] {
    spend(work);
    runtime.after(waited, [&] { runtime.stop(); });
  });
  runtime.run();
  EXPECT_GE(longest, work);
  EXPECT_LT(total, work + waited);
}

}  // namespace gingerdrift::testing
