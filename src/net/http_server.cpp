#include "net/http_server.hpp"

#include <algorithm>
#include <utility>

#include "net/address.hpp"
#include "net/message_parser.hpp"

namespace gingerdrift::net {

namespace {

constexpr std::uint32_t max_header_bytes = 16U << 10;
/// Interval between checks for connections that have missed their deadline.
constexpr duration overdue_check_interval = seconds(1);

}  // namespace

std::string listen_error::message() const {
  if (!cause) return "not an address: " + address;
  return address + ": " + cause->message();
}

http_server::http_server(uv_runtime& runtime, const server_limits& limits, handler_fn handler)
    : runtime_(runtime),
      limits_(limits),
      handler_(std::move(handler)),
      listener_(runtime.loop(), *this),
      poll_check_(make_check_handle(
          runtime.loop(),
          [](uv_check_t* handle) { static_cast<http_server*>(handle->data)->after_poll(); })),
      overdue_check_timer_(runtime),
      next_poll_timer_(runtime) {
  poll_check_->data = this;
  set_max_header_bytes(max_header_bytes);
  close_overdue();
}

std::optional<listen_error> http_server::listen(const std::string& address) {
  const auto parsed = parse_address(address);
  if (!parsed) return listen_error{address, std::nullopt};
  const auto cause = listener_.listen(*parsed, limits_.backlog);
  if (cause) return listen_error{address, cause};
  return std::nullopt;
}

void http_server::on_connection() {
  if (is_full()) {
    connection_waits_ = true;
  } else {
    accept_connection();
  }
}

void http_server::after_poll() {
  const bool must_wait =
      connection_waits_ && is_full() && !close_longest_idle() && has_unpolled_connection();
  ++poll_count_;
  if (must_wait) {
    next_poll_timer_.start(duration::zero(), [] {});  // lets the next poll return at once
  } else if (std::exchange(connection_waits_, false)) {
    accept_connection();
  }
}

void http_server::accept_connection() {
  server_connection::observer& owner = *this;
  auto connection =
      std::make_unique<server_connection>(next_id_++, runtime_, limits_, poll_count_, owner);
  // Accepted even at the connection limit, so that the connection is closed instead of staying in
  // the backlog.
  const auto error = connection->accept(listener_);
  if (error) return;
  ++counts_.accepted;
  if (is_full()) {
    ++counts_.refused_at_limit;
    return;
  }
  connection->start();
  last_accepting_poll_ = poll_count_;
  const auto id = connection->id();
  connections_.emplace(id, std::move(connection));
  counts_.open_max = std::max(counts_.open_max, connections_.size());
}

void http_server::on_request(server_connection& connection, const request& message) {
  handler_(message, guard_.wrap([this, id = connection.id()](const response& result) {
    send_response(id, result);
  }));
}

void http_server::on_end(server_connection& connection) { connections_.erase(connection.id()); }

void http_server::send_response(server_connection::id_type id, const response& result) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || !found->second->awaits_response()) return;
  if (is_near_connection_limit()) {
    ++counts_.closed_near_limit;
    found->second->send_response(result, connection_persistence::close);
  } else {
    found->second->send_response(result, connection_persistence::keep_alive);
  }
}

server_statistics http_server::statistics() const {
  server_statistics result = counts_;
  result.open = connections_.size();
  return result;
}

bool http_server::is_near_connection_limit() const {
  return static_cast<double>(connections_.size()) >
         static_cast<double>(limits_.connections) * limits_.keep_alive_share;
}

bool http_server::close_longest_idle() {
  const server_connection* longest_idle = nullptr;
  for (const auto& [id, connection] : connections_) {
    const auto since = connection->idle_since();
    if (!since || connection->accepted_in_poll() == poll_count_) continue;
    if (longest_idle == nullptr || *since < *longest_idle->idle_since())
      longest_idle = connection.get();
  }
  if (longest_idle == nullptr) return false;
  ++counts_.closed_for_others;
  connections_.erase(longest_idle->id());
  return true;
}

void http_server::close_overdue() {
  const time_point now = runtime_.now();
  std::erase_if(connections_, [now](const auto& entry) { return entry.second->is_overdue(now); });
  overdue_check_timer_.start(overdue_check_interval, [this] { close_overdue(); });
}

}  // namespace gingerdrift::net
