#include "net/connection_pool.hpp"

namespace gingerdrift::net {

connection_pool::connection_pool(uv_loop_t* loop, const client_limits& limits,
                                 client_connection::observer& owner)
    : loop_(loop), limits_(limits), owner_(owner) {}

std::size_t connection_pool::size(const std::string& address) const {
  const auto found = endpoints_.find(address);
  return found == endpoints_.end() ? 0 : found->second.connections.size();
}

bool connection_pool::can_open(const std::string& address) const {
  return !is_full() && size(address) < limits_.connections_per_address;
}

bool connection_pool::has_idle(const std::string& address) const {
  const auto found = endpoints_.find(address);
  return found != endpoints_.end() && !found->second.idle.empty();
}

client_connection* connection_pool::take_idle(const std::string& address) {
  if (!has_idle(address)) return nullptr;
  auto& idle = endpoints_[address].idle;
  client_connection* const connection = idle.back().connection;
  idle.pop_back();
  return connection;
}

client_connection& connection_pool::open(const std::string& address) {
  auto connection =
      std::make_unique<client_connection>(loop_, address, limits_.response_body_bytes, owner_);
  ++size_;
  return *endpoints_[address].connections.emplace_back(std::move(connection));
}

void connection_pool::put_idle(client_connection& connection, time_point now) {
  endpoints_[connection.address()].idle.push_back({.connection = &connection, .since = now});
}

void connection_pool::close(client_connection& connection) {
  auto& remote = endpoints_[connection.address()];
  std::erase_if(remote.idle,
                [&](const auto& candidate) { return candidate.connection == &connection; });
  std::erase_if(remote.connections,
                [&](const auto& candidate) { return candidate.get() == &connection; });
  --size_;
}

void connection_pool::close_longest_idle() {
  const idle_connection* longest_idle = nullptr;
  for (const auto& [address, remote] : endpoints_) {
    for (const auto& candidate : remote.idle) {
      if (longest_idle == nullptr || candidate.since < longest_idle->since)
        longest_idle = &candidate;
    }
  }
  if (longest_idle != nullptr) close(*longest_idle->connection);
}

void connection_pool::close_expired(time_point now) {
  std::vector<client_connection*> expired;
  for (const auto& [address, remote] : endpoints_) {
    for (const auto& candidate : remote.idle) {
      if (now - candidate.since > limits_.idle_timeout) expired.push_back(candidate.connection);
    }
  }
  for (auto* connection : expired) close(*connection);
  std::erase_if(endpoints_, [](const auto& entry) { return entry.second.connections.empty(); });
}

}  // namespace gingerdrift::net
