#include "net/server_connection.hpp"

#include <utility>

#include "net/message_writer.hpp"

namespace gingerdrift::net {

namespace {

/// The most that is read at once, and that is kept of a next request.
constexpr std::size_t read_buffer_bytes = std::size_t{8} << 10;
/// What a client gets to read a last response before the connection is closed.
constexpr duration close_delay = seconds(2);

}  // namespace

server_connection::server_connection(id_type id, uv_runtime& runtime, const server_limits& limits,
                                     observer& owner)
    : id_(id),
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
    keep_early_bytes(bytes);
  } else {
    read_request(bytes);
  }
}

void server_connection::on_end() { owner_.on_end(*this); }

void server_connection::enter(state next) {
  state_ = next;
  state_since_ = runtime_.now();
}

void server_connection::keep_early_bytes(std::string_view bytes) {
  // Requests are handled one at a time: a little early data is kept, a flood is cut off.
  if (early_bytes_.size() + bytes.size() > read_buffer_bytes) {
    owner_.on_end(*this);
    return;
  }
  early_bytes_.append(bytes);
}

void server_connection::read_request(std::string_view bytes) {
  if (state_ != state::reading) enter(state::reading);
  const parse_result parsed = parser_.parse(bytes);
  switch (parsed.state) {
    case parse_state::incomplete:
      return;
    case parse_state::complete:
      if (parsed.consumed < bytes.size()) early_bytes_ = bytes.substr(parsed.consumed);
      hand_over_request();
      return;
    case parse_state::body_too_large:
      refuse(R"({"error":"body over 64 KiB"})");
      return;
    case parse_state::malformed:
      refuse(R"({"error":"malformed HTTP"})");
      return;
  }
}

void server_connection::hand_over_request() {
  enter(state::handling);
  const request message = parser_.take_request();
  owner_.on_request(*this, message);
}

void server_connection::refuse(std::string body) {
  enter(state::handling);
  response result;
  result.status = 400;
  result.body = std::move(body);
  answer(result, connection_persistence::close);
}

void server_connection::answer(const response& result, connection_persistence persistence) {
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
  enter(state::idle);
  if (!early_bytes_.empty()) read_request(std::exchange(early_bytes_, {}));
}

bool server_connection::write(const std::string& bytes) {
  const auto written = stream_.try_write(bytes);
  if (!written) return false;
  if (*written < bytes.size()) stream_.queue_write(bytes.substr(*written));
  return true;
}

void server_connection::close_after_writing() {
  stream_.shut_down();
  // Idle since so long that it is closed soon, and is the first to make room.
  state_ = state::idle;
  state_since_ = runtime_.now() - limits_.idle_timeout + close_delay;
}

std::optional<time_point> server_connection::idle_since() const {
  if (state_ == state::reading || state_ == state::handling) return std::nullopt;
  return state_since_;
}

bool server_connection::overdue(time_point now) const {
  const duration age = now - state_since_;
  switch (state_) {
    case state::awaiting_first_byte:
      return age > limits_.first_byte_timeout;
    case state::idle:
      return age > limits_.idle_timeout;
    case state::reading:
      return age > limits_.request_timeout;
    case state::handling:
      return false;  // the handler replies within a deadline of its own
  }
  return false;
}

}  // namespace gingerdrift::net
