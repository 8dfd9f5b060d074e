// The HTTP server and client over real sockets on loopback. Nothing here depends on how fast.
#include <gtest/gtest.h>

#include "net/http_server.hpp"
#include "net/uv_runtime.hpp"

namespace gingerdrift::testing {

namespace {

class http : public ::testing::Test {
 protected:
  http()
      : runtime({}),
        server(runtime, limits(), [this](const net::request& in, const net::reply_fn& out) {
          ++handled;
          out({200, in.method + " " + in.target + " " + std::to_string(in.body.size()),
               std::nullopt, in.target == "/close"});
        }) {
    for (int port = 20000; port < 60000 && address.empty(); port += 37) {
      const std::string attempt = "127.0.0.1:" + std::to_string(port);
      if (server.listen(attempt).empty()) address = attempt;
    }
  }
  static net::server_limits limits() {
    net::server_limits out;
    out.connections = 4;
    out.body_bytes = 1000;
    out.first_byte = milliseconds(200);
    out.request_deadline = milliseconds(200);
    return out;
  }
  net::response ask(net::request message, duration deadline = seconds(20)) {
    net::response got;
    runtime.call(address, std::move(message), deadline, [&](const net::response& reply) {
      got = reply;
      runtime.stop();
    });
    runtime.run();
    return got;
  }
  net::uv_runtime runtime;
  net::http_server server;
  std::string address;
  int handled = 0;
};

/// A plain connection that sends some bytes and waits for its end.
struct raw_client {
  raw_client(net::uv_runtime& loop, const std::string& address, std::string bytes)
      : runtime(loop), out(std::move(bytes)) {
    sockaddr_in where{};
    net::parse_address(address, where);
    uv_tcp_init(runtime.loop(), &tcp);
    tcp.data = this;
    connecting.data = this;
    uv_tcp_connect(&connecting, &tcp, reinterpret_cast<const sockaddr*>(&where),
                   [](uv_connect_t* req, int) { static_cast<raw_client*>(req->data)->begin(); });
    runtime.run();
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp), [](uv_handle_t* handle) {
      auto* self = static_cast<raw_client*>(handle->data);
      self->runtime.stop();
    });
    runtime.run();
  }
  void begin() {
    uv_buf_t piece = uv_buf_init(out.data(), static_cast<unsigned>(out.size()));
    if (!out.empty()) uv_try_write(reinterpret_cast<uv_stream_t*>(&tcp), &piece, 1);
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&tcp),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buf) {
          auto* self = static_cast<raw_client*>(handle->data);
          *buf = uv_buf_init(self->buffer, sizeof self->buffer);
        },
        [](uv_stream_t* stream, ssize_t got, const uv_buf_t*) {
          auto* self = static_cast<raw_client*>(stream->data);
          if (got > 0) {
            self->in.append(self->buffer, static_cast<std::size_t>(got));
          } else if (got < 0) {
            self->closed = true;
            self->runtime.stop();
          }
        });
  }
  net::uv_runtime& runtime;
  uv_tcp_t tcp{};
  uv_connect_t connecting{};
  std::string out;
  std::string in;
  bool closed = false;
  char buffer[1024];
};

}  // namespace

TEST_F(http, requests_are_answered_on_kept_and_on_closed_connections) {
  EXPECT_EQ(ask({"GET", "/a", ""}).body, "GET /a 0");
  EXPECT_EQ(ask({"POST", "/b", "hello"}).body, "POST /b 5");
  EXPECT_EQ(server.open(), 1U) << "the connection was kept";
  EXPECT_EQ(ask({"GET", "/close", ""}).status, 200);
  EXPECT_EQ(ask({"GET", "/c", ""}).body, "GET /c 0");
}

TEST_F(http, too_large_bodies_and_garbage_get_400_and_reach_no_handler) {
  EXPECT_EQ(ask({"POST", "/b", std::string(2000, 'x')}).status, 400);
  const raw_client garbage(runtime, address, "no http at all\r\n\r\n");
  EXPECT_EQ(garbage.in.rfind("HTTP/1.1 400", 0), 0U);
  EXPECT_TRUE(garbage.closed);
  EXPECT_EQ(handled, 0);
}

TEST_F(http, silent_and_half_sent_requests_are_closed_on_their_deadline) {
  EXPECT_TRUE(raw_client(runtime, address, "").closed);
  EXPECT_TRUE(raw_client(runtime, address, "POST /b HTTP/1.1\r\nContent-Le").closed);
  EXPECT_EQ(server.open(), 0U);
}

TEST_F(http, unused_connections_of_the_client_are_closed) {
  net::client_limits limits;
  limits.idle = milliseconds(100);
  net::uv_runtime other(limits);
  net::http_server there(other, {}, [](const net::request&, const net::reply_fn& out) {
    out({200, "", std::nullopt, false});
  });
  std::string at;
  for (int port = 21000; port < 60000 && at.empty(); port += 41) {
    const std::string attempt = "127.0.0.1:" + std::to_string(port);
    if (there.listen(attempt).empty()) at = attempt;
  }
  other.call(at, {"GET", "/", ""}, seconds(20), [&](const net::response&) { other.stop(); });
  other.run();
  EXPECT_EQ(other.open_calls(), 1U);
  std::function<void()> look = [&] {
    if (other.open_calls() == 0) return other.stop();
    other.after(milliseconds(20), look);
  };
  look();
  other.after(seconds(20), [&] { other.stop(); });
  other.run();
  EXPECT_EQ(other.open_calls(), 0U);
}

// More clients than connections: near the bound a connection ends with its answer, and those that
// were there before are left alone.
TEST_F(http, crowded_connections_end_with_their_answers) {
  const auto keep_open = [&](std::size_t wanted) {
    std::size_t answered = 0;
    for (std::size_t i = 0; i < wanted; ++i) {
      runtime.call(address, {"GET", "/", ""}, seconds(20), [&, wanted](const net::response& got) {
        answered += got.status == 200;
        if (answered == wanted) runtime.stop();
      });
    }
    runtime.run();
  };
  keep_open(3);
  ASSERT_EQ(server.open(), 3U) << "of four: not crowded yet";
  runtime.after(seconds(20), [&] { runtime.stop(); });
  const raw_client last(runtime, address, "GET /x HTTP/1.1\r\n\r\n");
  EXPECT_EQ(last.in.rfind("HTTP/1.1 200", 0), 0U) << "it is answered";
  EXPECT_NE(last.in.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(last.closed);
  EXPECT_EQ(server.open(), 3U);
}

TEST_F(http, nobody_answers) {
  net::uv_runtime other({});
  net::response got;
  got.status = 1;
  other.call("127.0.0.1:1", {"GET", "/", ""}, seconds(5), [&](const net::response& reply) {
    got = reply;
    other.stop();
  });
  other.run();
  EXPECT_EQ(got.status, 0);
}

}  // namespace gingerdrift::testing
