#include "net/client_connection.hpp"

#include <utility>

#include "net/message_writer.hpp"

namespace gingerdrift::net {

namespace {

/// Maximum number of bytes per read.
constexpr std::size_t read_buffer_bytes = std::size_t{16} << 10;

}  // namespace

client_connection::client_connection(uv_loop_t* loop, std::string address,
                                     std::size_t max_body_bytes, observer& owner)
    : address_(std::move(address)),
      owner_(owner),
      parser_(max_body_bytes),
      stream_(loop, read_buffer_bytes, *this) {}

std::optional<uv_error> client_connection::connect(const sockaddr_in& server) {
  stream_.disable_send_delay();
  return stream_.connect(server, [this](std::optional<uv_error> error) {
    if (error) {
      owner_.on_failure(*this);
    } else {
      on_connected();
    }
  });
}

void client_connection::on_connected() {
  connected_ = true;
  stream_.start_reading();
  write_outgoing();
}

void client_connection::send(const request& message) {
  outgoing_ = write_request(message, address_);
  parser_.start_message();
  awaits_response_ = true;
  if (connected_) write_outgoing();
}

void client_connection::write_outgoing() {
  const std::string bytes = std::exchange(outgoing_, {});
  // A failed write is not handled here: it leads to the end of the stream, or the call reaches its
  // deadline.
  const std::size_t written = stream_.try_write(bytes).value_or(0);
  if (written < bytes.size()) stream_.queue_write(bytes.substr(written));
}

void client_connection::on_data(std::string_view bytes) {
  if (!awaits_response_) {
    owner_.on_failure(*this);
    return;
  }
  switch (parser_.parse(bytes).state) {
    case parse_state::incomplete:
      return;
    case parse_state::complete:
      awaits_response_ = false;
      owner_.on_response(*this, parser_.take_response(), parser_.persistence());
      return;
    case parse_state::malformed:
    case parse_state::body_too_large:
      owner_.on_failure(*this);
      return;
  }
}

void client_connection::on_end() { owner_.on_failure(*this); }

}  // namespace gingerdrift::net
