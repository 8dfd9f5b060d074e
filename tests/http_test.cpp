// Tests the HTTP server and client over real sockets on the loopback interface. No result depends
// on the speed of the machine.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <thread>

#include "net/http_server.hpp"
#include "net/uv_runtime.hpp"

namespace gingerdrift::testing {

namespace {

/// Maximum time that a test waits for an expected event.
constexpr seconds test_timeout(20);

net::response ok(std::string body) { return {200, std::move(body), std::nullopt, false}; }

/// A server and the address on which it listens.
struct listening_server {
  std::unique_ptr<net::http_server> server;
  std::string address;
};

listening_server listen_on_free_port(net::uv_runtime& runtime, const net::server_limits& limits,
                                     const net::handler_fn& handler) {
  for (int port = 20000; port < 60000; port += 37) {
    std::string address = "127.0.0.1:" + std::to_string(port);
    // A new server for each attempt, as one that lost a race for its port remains bound to it.
    auto server = std::make_unique<net::http_server>(runtime, limits, handler);
    if (!server->listen(address)) return {std::move(server), std::move(address)};
  }
  throw std::runtime_error("no free port");
}

/// Runs the loop until the condition holds or `test_timeout` has passed. Returns whether it holds.
bool run_until(net::uv_runtime& runtime, const std::function<bool()>& condition) {
  const time_point deadline = runtime.now() + test_timeout;
  std::function<void()> poll = [&] {
    if (condition() || runtime.now() > deadline) return runtime.stop();
    runtime.after(milliseconds(20), poll);
  };
  poll();
  runtime.run();
  return condition();
}

/// A client and a server on one loop.
class http_pair {
 public:
  http_pair(const net::client_limits& client, const net::server_limits& limits,
            const net::handler_fn& handler)
      : runtime(client), listening(listen_on_free_port(runtime, limits, handler)) {}

  /// Sends a request and returns its response.
  net::response send_request(net::request message, duration deadline = test_timeout) {
    net::response reply;
    runtime.call(address, std::move(message), deadline, [&](const net::response& received) {
      reply = received;
      runtime.stop();
    });
    runtime.run();
    return reply;
  }

  /// Makes `count` concurrent calls, so that each uses a connection of its own, and waits for the
  /// responses.
  void open_idle_connections(std::size_t count) {
    std::size_t answered = 0;
    for (std::size_t i = 0; i < count; ++i) {
      runtime.call(address, {"GET", "/", ""}, test_timeout, [&](const net::response& reply) {
        answered += reply.status == 200;
        if (answered == count) runtime.stop();
      });
    }
    runtime.run();
  }

  net::uv_runtime runtime;
  listening_server listening;
  net::http_server& server = *listening.server;
  const std::string& address = listening.address;
};

/// The bytes received on a connection, and whether the server closed it.
struct raw_result {
  std::string received;
  bool closed_by_server = false;
};

/// Sends bytes on a plain socket, without the client under test, and reads until the server closes
/// the connection. The socket is used on a separate thread while the calling thread runs the loop.
raw_result send_raw(net::uv_runtime& runtime, const std::string& address, std::string_view bytes) {
  raw_result result;
  std::thread client([&] {
    const sockaddr_in server = net::parse_address(address).value();
    const timeval read_timeout{test_timeout.count(), 0};
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &read_timeout, sizeof read_timeout);
    EXPECT_EQ(connect(descriptor, reinterpret_cast<const sockaddr*>(&server), sizeof server), 0);
    send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::array<char, 1024> buffer{};
    ssize_t count = 0;
    while ((count = recv(descriptor, buffer.data(), buffer.size(), 0)) > 0)
      result.received.append(buffer.data(), static_cast<std::size_t>(count));
    result.closed_by_server = count == 0 || errno == ECONNRESET;
    close(descriptor);
    runtime.post([&] { runtime.stop(); });
  });
  runtime.run();
  client.join();
  return result;
}

/// A plain socket that has sent bytes and not yet read anything.
class raw_client {
 public:
  raw_client(const std::string& address, std::string_view bytes)
      : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in server = net::parse_address(address).value();
    EXPECT_EQ(connect(descriptor_, reinterpret_cast<const sockaddr*>(&server), sizeof server), 0);
    EXPECT_EQ(send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  raw_client(raw_client&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;
  raw_client& operator=(raw_client&&) = delete;
  ~raw_client() {
    if (descriptor_ >= 0) close(descriptor_);
  }

  /// Returns what has arrived so far, without waiting.
  std::string read() const {
    std::array<char, 1024> buffer{};
    const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    return count > 0 ? std::string(buffer.data(), static_cast<std::size_t>(count)) : std::string();
  }

 private:
  int descriptor_;
};

/// A client, and a server whose responses repeat the method, target and body size of the request,
/// except for a few targets with special responses.
class http : public ::testing::Test, protected http_pair {
 protected:
  http()
      : http_pair({}, small_limits(), [this](const net::request& message, net::reply_fn reply) {
          handle(message, std::move(reply));
        }) {}

  static net::server_limits small_limits() {
    net::server_limits limits;
    limits.connections = 4;
    limits.request_body_bytes = 1000;
    limits.first_byte_timeout = milliseconds(200);
    limits.request_timeout = milliseconds(200);
    return limits;
  }

  int handled_requests = 0;
  std::vector<net::reply_fn> withheld;  // reply functions of requests for /withheld

 private:
  void handle(const net::request& message, net::reply_fn reply) {
    ++handled_requests;
    if (message.target == "/withheld") {
      withheld.push_back(std::move(reply));
      return;
    }
    net::response result =
        ok(message.method + " " + message.target + " " + std::to_string(message.body.size()));
    result.close = message.target == "/close";
    if (message.target == "/retry") result.retry_after = seconds(7);
    if (message.target == "/large") result.body.assign(std::stoul(message.body), 'x');
    reply(result);
  }
};

/// Concurrently calls the targets "/1", "/2" and so on, with at most one connection and two queued
/// calls. Returns the outcome of each call, in the order of the replies.
std::vector<std::string> call_concurrently(std::size_t calls) {
  net::client_limits limits;
  limits.connections_per_address = 1;
  limits.queued_calls_per_address = 2;
  http_pair pair(limits, {}, [](const net::request& message, const net::reply_fn& reply) {
    reply(ok(message.target));
  });
  std::vector<std::string> replies;
  for (std::size_t number = 1; number <= calls; ++number) {
    const std::string target = "/" + std::to_string(number);
    const auto on_reply = [&replies, target](const net::response& reply) {
      replies.push_back(reply.status == 200 ? reply.body : target + " refused");
    };
    pair.runtime.call(pair.address, {"GET", target, ""}, test_timeout, on_reply);
  }
  EXPECT_TRUE(run_until(pair.runtime, [&] { return replies.size() == calls; }));
  EXPECT_EQ(pair.runtime.open_client_connections(), 1U);
  return replies;
}

}  // namespace

TEST_F(http, a_connection_is_reused_for_sequential_requests) {
  EXPECT_EQ(send_request({"GET", "/a", ""}).body, "GET /a 0");
  EXPECT_EQ(send_request({"POST", "/b", "hello"}).body, "POST /b 5");
  EXPECT_EQ(server.open_connections(), 1U);
}

TEST_F(http, a_request_after_the_connection_closed_opens_a_new_one) {
  EXPECT_EQ(send_request({"GET", "/a", ""}).status, 200);
  EXPECT_EQ(send_request({"GET", "/close", ""}).status, 200);
  EXPECT_EQ(send_request({"GET", "/c", ""}).body, "GET /c 0");
}

TEST_F(http, a_too_large_body_gets_400_without_calling_the_handler) {
  EXPECT_EQ(send_request({"POST", "/b", std::string(2000, 'x')}).status, 400);
  EXPECT_EQ(handled_requests, 0);
}

TEST_F(http, malformed_http_gets_400_without_calling_the_handler) {
  const raw_result client = send_raw(runtime, address, "no http at all\r\n\r\n");
  EXPECT_TRUE(client.received.starts_with("HTTP/1.1 400")) << client.received;
  EXPECT_TRUE(client.closed_by_server);
  EXPECT_EQ(handled_requests, 0);
}

TEST_F(http, a_connection_without_a_request_is_closed_at_its_deadline) {
  EXPECT_TRUE(send_raw(runtime, address, "").closed_by_server);
  EXPECT_EQ(server.open_connections(), 0U);
}

TEST_F(http, a_connection_with_a_partial_request_is_closed_at_its_deadline) {
  EXPECT_TRUE(send_raw(runtime, address, "POST /b HTTP/1.1\r\nContent-Le").closed_by_server);
  EXPECT_EQ(server.open_connections(), 0U);
}

TEST_F(http, pipelined_requests_are_answered_in_order) {
  const raw_result client =
      send_raw(runtime, address,
               "GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
               "GET /close HTTP/1.1\r\n\r\nGET /never HTTP/1.1\r\n\r\n");
  EXPECT_EQ(client.received,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 8\r\n\r\n"
            "GET /a 0"
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 9\r\n\r\n"
            "POST /b 2"
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n"
            "Connection: close\r\n\r\nGET /close 0");
  EXPECT_EQ(handled_requests, 3);
}

TEST_F(http, too_many_pipelined_bytes_close_the_connection) {
  constexpr std::size_t max_pipelined_bytes = 8192;  // that the server buffers after a request
  const raw_result client =
      send_raw(runtime, address,
               "GET /withheld HTTP/1.1\r\n\r\n" + std::string(max_pipelined_bytes + 1, 'x'));
  EXPECT_TRUE(client.closed_by_server);
  EXPECT_EQ(client.received, "");
  EXPECT_EQ(server.open_connections(), 0U);
}

TEST_F(http, a_call_past_its_deadline_fails_and_its_connection_is_closed) {
  EXPECT_EQ(send_request({"GET", "/withheld", ""}, milliseconds(50)).status, 0);
  EXPECT_EQ(runtime.open_client_connections(), 0U);
  EXPECT_TRUE(run_until(runtime, [&] { return server.open_connections() == 0; }));
}

TEST_F(http, a_reply_after_its_connection_closed_is_dropped) {
  EXPECT_EQ(send_request({"GET", "/withheld", ""}, milliseconds(50)).status, 0);
  ASSERT_TRUE(run_until(runtime, [&] { return server.open_connections() == 0; }));
  withheld.at(0)(ok("too late"));
  EXPECT_EQ(send_request({"GET", "/a", ""}).body, "GET /a 0");
}

TEST_F(http, retry_after_is_passed_to_the_caller) {
  EXPECT_EQ(send_request({"GET", "/retry", ""}).retry_after, seconds(7));
  EXPECT_EQ(send_request({"GET", "/a", ""}).retry_after, std::nullopt)
      << "the value of the previous response must not be kept";
}

TEST_F(http, a_response_body_over_the_limit_of_the_client_fails_the_call) {
  const std::size_t limit = net::client_limits{}.response_body_bytes;
  EXPECT_EQ(send_request({"POST", "/large", std::to_string(limit)}).body.size(), limit);
  EXPECT_EQ(send_request({"POST", "/large", std::to_string(limit + 1)}).status, 0);
}

TEST_F(http,
       near_the_connection_limit_a_connection_is_closed_after_its_response_and_idle_ones_stay) {
  constexpr std::size_t idle = 3;
  open_idle_connections(idle);
  ASSERT_EQ(server.open_connections(), idle)
      << "three of at most four connections are not near the limit";

  const raw_result last = send_raw(runtime, address, "GET /x HTTP/1.1\r\n\r\n");

  EXPECT_TRUE(last.received.starts_with("HTTP/1.1 200")) << "the request must get a response";
  EXPECT_NE(last.received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(last.closed_by_server);
  EXPECT_EQ(server.open_connections(), idle);
}

TEST_F(http, at_the_connection_limit_without_an_idle_connection_a_new_one_is_closed) {
  for (std::size_t i = 0; i < small_limits().connections; ++i) {
    runtime.call(address, {"GET", "/withheld", ""}, test_timeout, [](const net::response&) {});
  }
  ASSERT_TRUE(run_until(runtime, [&] { return withheld.size() == small_limits().connections; }));

  const raw_result last = send_raw(runtime, address, "GET /x HTTP/1.1\r\n\r\n");

  EXPECT_EQ(last.received, "");
  EXPECT_TRUE(last.closed_by_server);
  EXPECT_EQ(server.open_connections(), small_limits().connections);
}

TEST_F(http, a_reply_after_the_server_was_destroyed_is_dropped) {
  auto short_lived = listen_on_free_port(
      runtime, {},
      [&](const net::request&, const net::reply_fn& reply) { withheld.push_back(reply); });
  std::optional<net::response> reply;
  runtime.call(short_lived.address, {"GET", "/", ""}, test_timeout,
               [&](const net::response& received) { reply = received; });
  ASSERT_TRUE(run_until(runtime, [&] { return withheld.size() == 1; }));
  short_lived.server.reset();
  withheld.front()(ok("too late"));
  ASSERT_TRUE(run_until(runtime, [&] { return reply.has_value(); }));
  EXPECT_EQ(reply->status, 0);
}

TEST(http_server, at_the_connection_limit_an_idle_connection_is_closed_for_a_new_one) {
  net::server_limits limits;
  limits.connections = 2;
  limits.keep_alive_share = 1;
  http_pair pair({}, limits,
                 [](const net::request&, const net::reply_fn& reply) { reply(ok("")); });
  pair.open_idle_connections(2);
  ASSERT_EQ(pair.server.open_connections(), 2U);

  const raw_result last =
      send_raw(pair.runtime, pair.address, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");

  EXPECT_TRUE(last.received.starts_with("HTTP/1.1 200")) << last.received;
  EXPECT_TRUE(run_until(pair.runtime, [&] { return pair.runtime.open_client_connections() == 1; }));
}

TEST(http_server, at_the_connection_limit_no_connection_is_closed_before_its_request_was_read) {
  net::server_limits limits;
  limits.connections = 2;
  limits.keep_alive_share = 1;
  http_pair pair({}, limits,
                 [](const net::request&, const net::reply_fn& reply) { reply(ok("")); });
  constexpr std::size_t clients = 6;
  std::vector<raw_client> connected;
  for (std::size_t i = 0; i < clients; ++i)
    connected.emplace_back(pair.address, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");

  // All connections wait to be accepted, with their requests, before the server runs at all.
  pair.runtime.after(seconds(1), [&pair] { pair.runtime.stop(); });
  pair.runtime.run();

  std::size_t answered = 0;
  for (auto& client : connected) answered += client.read().starts_with("HTTP/1.1 200") ? 1 : 0;
  EXPECT_EQ(answered, clients);
  EXPECT_EQ(pair.server.statistics().accepted, clients);
}

TEST(http_server, listening_on_an_invalid_address_returns_an_error_that_names_it) {
  net::uv_runtime runtime({});
  net::http_server server(runtime, {}, [](const net::request&, const net::reply_fn&) {});
  const auto error = server.listen("localhost:8080");
  ASSERT_TRUE(error);
  EXPECT_EQ(error->message(), "not an address: localhost:8080");
}

TEST(http_server, listening_on_an_address_in_use_returns_an_error_that_names_it) {
  net::uv_runtime runtime({});
  const net::handler_fn handler = [](const net::request&, const net::reply_fn&) {};
  const auto first = listen_on_free_port(runtime, {}, handler);
  net::http_server second(runtime, {}, handler);
  const auto error = second.listen(first.address);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->message(), first.address + ": address already in use");
}

TEST(http_client, idle_connections_are_closed_after_the_timeout) {
  net::client_limits limits;
  limits.idle_timeout = milliseconds(100);
  http_pair pair(limits, {},
                 [](const net::request&, const net::reply_fn& reply) { reply(ok("")); });
  pair.send_request({"GET", "/", ""});
  EXPECT_EQ(pair.runtime.open_client_connections(), 1U);
  EXPECT_TRUE(run_until(pair.runtime, [&] { return pair.runtime.open_client_connections() == 0; }));
  EXPECT_EQ(pair.runtime.open_client_connections(), 0U);
}

TEST(http_client, calls_beyond_the_connection_limit_of_an_address_are_queued) {
  EXPECT_EQ(call_concurrently(3), (std::vector<std::string>{"/1", "/2", "/3"}));
}

TEST(http_client, a_call_is_refused_before_the_others_end_when_the_queue_of_its_address_is_full) {
  EXPECT_EQ(call_concurrently(4), (std::vector<std::string>{"/4 refused", "/1", "/2", "/3"}));
}

TEST(http_client, a_call_to_an_address_without_a_server_gets_status_0) {
  net::uv_runtime runtime({});
  std::optional<net::response> reply;
  runtime.call("127.0.0.1:1", {"GET", "/", ""}, seconds(5),
               [&](const net::response& received) { reply = received; });
  ASSERT_TRUE(run_until(runtime, [&] { return reply.has_value(); }));
  EXPECT_EQ(reply->status, 0);
}

TEST(uv_runtime, timers_run_in_order_of_their_delays) {
  net::uv_runtime runtime({});
  std::vector<int> order;
  runtime.after(milliseconds(500), [&] { order.push_back(2); });
  runtime.after(milliseconds(0), [&] { order.push_back(1); });
  EXPECT_TRUE(run_until(runtime, [&] { return order.size() == 2; }));
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

TEST(uv_runtime, a_cancelled_timer_does_not_run) {
  net::uv_runtime runtime({});
  std::vector<int> order;
  runtime.cancel(runtime.after(milliseconds(0), [&] { order.push_back(0); }));
  runtime.after(milliseconds(500), [&] { order.push_back(1); });
  EXPECT_TRUE(run_until(runtime, [&] { return !order.empty(); }));
  EXPECT_EQ(order, (std::vector<int>{1}));
}

TEST(uv_runtime, posted_actions_run_on_the_thread_of_the_loop) {
  net::uv_runtime runtime({});
  std::optional<std::thread::id> ran_on;
  std::thread([&] { runtime.post([&] { ran_on = std::this_thread::get_id(); }); }).join();
  ASSERT_TRUE(run_until(runtime, [&] { return ran_on.has_value(); }));
  EXPECT_EQ(ran_on, std::this_thread::get_id());
}

}  // namespace gingerdrift::testing
