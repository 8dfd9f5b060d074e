#include "net/http_server.hpp"

#include <http_parser.h>

#include <algorithm>
#include <vector>

namespace gingerdrift::net {

namespace {
enum class phase { fresh, idle, reading, handling };

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}
}  // namespace

struct http_server::connection {
  uv_tcp_t tcp{};
  http_parser parser{};
  http_server* owner = nullptr;
  std::uint64_t id = 0;
  phase state = phase::fresh;
  time_point since;
  request message;
  bool too_large = false;
  bool complete = false;
  bool keep_alive = true;
  bool closing = false;
  std::string left;  // bytes of a next request that arrived early
  char buffer[8192];
};

http_server::http_server(uv_runtime& runtime, server_limits limits, handler_fn handler)
    : runtime_(runtime), limits_(limits), handler_(std::move(handler)), listener_(new uv_tcp_t) {
  http_parser_set_max_header_size(16 << 10);
  uv_tcp_init(runtime_.loop(), listener_);
  listener_->data = this;
  sweep();
}

http_server::~http_server() {
  *alive_ = false;
  runtime_.cancel(sweeper_);
  std::vector<connection*> open;
  for (auto& [id, conn] : connections_) open.push_back(conn);
  for (auto* conn : open) close(conn);
  uv_close(reinterpret_cast<uv_handle_t*>(listener_),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

std::string http_server::listen(const std::string& address) {
  sockaddr_in where{};
  if (!parse_address(address, where)) return "not an address: " + address;
  int failed = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&where), 0);
  if (failed == 0) {
    const int backlog = static_cast<int>(limits_.backlog);
    failed =
        uv_listen(reinterpret_cast<uv_stream_t*>(listener_), backlog, [](uv_stream_t* s, int bad) {
          if (bad == 0) static_cast<http_server*>(s->data)->accept();
        });
  }
  return failed == 0 ? std::string() : address + ": " + uv_strerror(failed);
}

void http_server::accept() {
  if (connections_.size() >= limits_.connections) {
    connection* oldest = nullptr;
    for (auto& [id, conn] : connections_) {
      if (conn->state != phase::idle && conn->state != phase::fresh) continue;
      if (oldest == nullptr || conn->since < oldest->since) oldest = conn;
    }
    if (oldest != nullptr) close(oldest);
  }
  auto* conn = new connection;
  conn->owner = this;
  conn->id = next_id_++;
  conn->since = runtime_.now();
  uv_tcp_init(runtime_.loop(), &conn->tcp);
  conn->tcp.data = conn;
  connections_[conn->id] = conn;
  if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_),
                reinterpret_cast<uv_stream_t*>(&conn->tcp)) != 0 ||
      connections_.size() > limits_.connections) {
    close(conn);
    return;
  }
  uv_tcp_nodelay(&conn->tcp, 1);
  http_parser_init(&conn->parser, HTTP_REQUEST);
  conn->parser.data = conn;
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&conn->tcp),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buf) {
        auto* self = static_cast<connection*>(handle->data);
        *buf = uv_buf_init(self->buffer, sizeof self->buffer);
      },
      [](uv_stream_t* stream, ssize_t got, const uv_buf_t*) {
        auto* self = static_cast<connection*>(stream->data);
        if (self->closing || got == 0) return;
        if (got < 0) {
          self->owner->close(self);
          return;
        }
        self->owner->received(self, static_cast<std::size_t>(got));
      });
}

void http_server::received(connection* conn, std::size_t got) {
  if (conn->state == phase::handling) {
    // Nobody may pipeline; a little early data is kept, a flood is cut off.
    if (conn->left.size() + got > sizeof conn->buffer) {
      close(conn);
      return;
    }
    conn->left.append(conn->buffer, got);
    return;
  }
  if (conn->state != phase::reading) {
    conn->state = phase::reading;
    conn->since = runtime_.now();
    conn->message = {};
    conn->too_large = false;
    conn->complete = false;
  }
  http_parser_settings hooks{};
  hooks.on_url = [](http_parser* parser, const char* at, std::size_t size) {
    static_cast<connection*>(parser->data)->message.target.append(at, size);
    return 0;
  };
  hooks.on_body = [](http_parser* parser, const char* at, std::size_t size) {
    auto* self = static_cast<connection*>(parser->data);
    if (self->message.body.size() + size > self->owner->limits_.body_bytes) {
      self->too_large = true;
      return 1;
    }
    self->message.body.append(at, size);
    return 0;
  };
  hooks.on_message_complete = [](http_parser* parser) {
    auto* self = static_cast<connection*>(parser->data);
    self->complete = true;
    self->keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
  };
  const std::size_t used = http_parser_execute(&conn->parser, &hooks, conn->buffer, got);
  if (conn->complete) {
    http_parser_pause(&conn->parser, 0);
    // The parser stops on the last byte of the message.
    const std::size_t next = used;
    if (next < got) conn->left.assign(conn->buffer + next, got - next);
    handle(conn);
    return;
  }
  if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
    response bad;
    bad.status = 400;
    bad.body =
        conn->too_large ? R"({"error":"body over 64 KiB"})" : R"({"error":"malformed HTTP"})";
    bad.close = true;
    conn->state = phase::handling;
    write(conn, bad);
  }
}

void http_server::handle(connection* conn) {
  conn->state = phase::handling;
  conn->since = runtime_.now();
  conn->message.method = http_method_str(static_cast<http_method>(conn->parser.method));
  handler_(conn->message, [this, id = conn->id, alive = alive_](const response& result) {
    if (*alive) answer(id, result);
  });
}

void http_server::answer(std::uint64_t id, const response& result) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second->state != phase::handling) return;
  write(found->second, result);
}

void http_server::write(connection* conn, const response& result) {
  const bool close_after = result.close || !conn->keep_alive || crowded();
  std::string out = "HTTP/1.1 " + std::to_string(result.status) + " " + reason(result.status) +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(result.body.size()) + "\r\n";
  if (result.retry_after)
    out += "Retry-After: " + std::to_string(result.retry_after->count()) + "\r\n";
  if (close_after) out += "Connection: close\r\n";
  out += "\r\n" + result.body;
  uv_buf_t piece = uv_buf_init(out.data(), static_cast<unsigned>(out.size()));
  auto* stream = reinterpret_cast<uv_stream_t*>(&conn->tcp);
  const int wrote = uv_try_write(stream, &piece, 1);
  if (wrote < 0 && wrote != UV_EAGAIN) {
    close(conn);
    return;
  }
  if (wrote != static_cast<int>(out.size())) {
    struct write_job {
      uv_write_t req;
      std::string bytes;
    };
    auto* job = new write_job{{}, out.substr(wrote > 0 ? static_cast<std::size_t>(wrote) : 0)};
    job->req.data = job;
    piece = uv_buf_init(job->bytes.data(), static_cast<unsigned>(job->bytes.size()));
    if (uv_write(&job->req, stream, &piece, 1,
                 [](uv_write_t* req, int) { delete static_cast<write_job*>(req->data); }) != 0)
      delete job;
  }
  conn->since = runtime_.now();
  conn->message = {};
  if (close_after) {
    // Let what was written leave first.
    conn->state = phase::idle;
    conn->keep_alive = false;
    auto* finish = new uv_shutdown_t;
    finish->data = nullptr;
    if (uv_shutdown(finish, stream, [](uv_shutdown_t* req, int) { delete req; }) != 0)
      delete finish;
    conn->since = runtime_.now() - limits_.idle + seconds(2);
    return;
  }
  conn->state = phase::idle;
  if (!conn->left.empty()) {
    const std::size_t size = conn->left.size();
    std::copy(conn->left.begin(), conn->left.end(), conn->buffer);
    conn->left.clear();
    received(conn, size);
  }
}

bool http_server::crowded() const {
  return static_cast<double>(connections_.size()) >
         static_cast<double>(limits_.connections) * limits_.crowded;
}

void http_server::close(connection* conn) {
  if (conn->closing) return;
  conn->closing = true;
  connections_.erase(conn->id);
  uv_close(reinterpret_cast<uv_handle_t*>(&conn->tcp),
           [](uv_handle_t* handle) { delete static_cast<connection*>(handle->data); });
}

void http_server::sweep() {
  const time_point now = runtime_.now();
  std::vector<connection*> late;
  for (auto& [id, conn] : connections_) {
    const duration age = now - conn->since;
    switch (conn->state) {
      case phase::fresh:
        if (age > limits_.first_byte) late.push_back(conn);
        break;
      case phase::idle:
        if (age > limits_.idle) late.push_back(conn);
        break;
      case phase::reading:
        if (age > limits_.request_deadline) late.push_back(conn);
        break;
      case phase::handling:
        break;  // the stage behind answers within its own deadline
    }
  }
  for (auto* conn : late) close(conn);
  sweeper_ = runtime_.after(seconds(1), [this] { sweep(); });
}

}  // namespace gingerdrift::net
