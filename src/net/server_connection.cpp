#include "net/server_connection.hpp"

#include <utility>

#include "net/message_writer.hpp"

namespace gingerdrift::net {

namespace {

/// Maximum number of bytes per read, and of buffered bytes that arrive ahead of a response.
constexpr std::size_t read_buffer_bytes = std::size_t{8} << 10;
/// Time for the client to read its last response before the connection is closed.
constexpr duration close_delay = seconds(2);

}  // namespace

server_connection::server_connection(id_type id, uv_runtime& runtime, const server_limits& limits,
                                     std::uint64_t accepted_in_poll, observer& owner)
    : id_(id),
      accepted_in_poll_(accepted_in_poll),
      runtime_(runtime),
      limits_(limits),
      owner_(owner),
      state_since_(runtime.now()),
      parser_(limits.request_body_bytes),
      stream_(runtime.loop(), read_buffer_bytes, *this) {}

std::optional<uv_error> server_connection::accept(tcp_listener& listener) {
  return stream_.accept(listener);
}

void server_connection::start() {
  stream_.disable_send_delay();
  stream_.start_reading();
}

void server_connection::on_data(std::string_view bytes) {
  if (state_ == state::handling) {
    buffer_pipelined_bytes(bytes);
  } else {
    read_request(bytes);
  }
}

void server_connection::on_end() { owner_.on_end(*this); }

void server_connection::enter_state(state next) {
  state_ = next;
  state_since_ = runtime_.now();
}

void server_connection::buffer_pipelined_bytes(std::string_view bytes) {
  // Requests are handled one at a time. Pipelined data is buffered up to a limit; a client that
  // sends more is disconnected.
  if (pipelined_bytes_.size() + bytes.size() > read_buffer_bytes) {
    owner_.on_end(*this);
    return;
  }
  pipelined_bytes_.append(bytes);
}

void server_connection::read_request(std::string_view bytes) {
  if (state_ != state::reading) enter_state(state::reading);
  const parse_result parsed = parser_.parse(bytes);
  switch (parsed.state) {
    case parse_state::incomplete:
      return;
    case parse_state::complete:
      if (parsed.consumed < bytes.size()) pipelined_bytes_ = bytes.substr(parsed.consumed);
      dispatch_request();
      return;
    case parse_state::body_too_large:
      reject_request(R"({"error":"body over 64 KiB"})");
      return;
    case parse_state::malformed:
      reject_request(R"({"error":"malformed HTTP"})");
      return;
  }
}

void server_connection::dispatch_request() {
  enter_state(state::handling);
  const request message = parser_.take_request();
  owner_.on_request(*this, message);
}

void server_connection::reject_request(std::string body) {
  enter_state(state::handling);
  response result;
  result.status = 400;
  result.body = std::move(body);
  send_response(result, connection_persistence::close);
}

void server_connection::send_response(const response& result, connection_persistence persistence) {
  const bool close = result.close || persistence == connection_persistence::close ||
                     parser_.persistence() == connection_persistence::close;
  const auto effective = close ? connection_persistence::close : connection_persistence::keep_alive;
  if (!write(write_response(result, effective))) {
    owner_.on_end(*this);
    return;
  }
  parser_.start_message();
  if (close) {
    close_after_writing();
    return;
  }
  enter_state(state::idle);
  if (!pipelined_bytes_.empty()) read_request(std::exchange(pipelined_bytes_, {}));
}

bool server_connection::write(const std::string& bytes) {
  const auto written = stream_.try_write(bytes);
  if (!written) return false;
  if (*written < bytes.size()) stream_.queue_write(bytes.substr(*written));
  return true;
}

void server_connection::close_after_writing() {
  stream_.shut_down();
  // The idle time is set so that the connection is closed after close_delay, and before other idle
  // ones if the connection limit is reached.
  state_ = state::idle;
  state_since_ = runtime_.now() - limits_.idle_timeout + close_delay;
}

std::optional<time_point> server_connection::idle_since() const {
  if (state_ == state::reading || state_ == state::handling) return std::nullopt;
  return state_since_;
}

bool server_connection::is_overdue(time_point now) const {
  const duration age = now - state_since_;
  switch (state_) {
    case state::awaiting_first_byte:
      return age > limits_.first_byte_timeout;
    case state::idle:
      return age > limits_.idle_timeout;
    case state::reading:
      return age > limits_.request_timeout;
    case state::handling:
      return false;  // the handler enforces its own deadline
  }
  return false;
}

}  // namespace gingerdrift::net
