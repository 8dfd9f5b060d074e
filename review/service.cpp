#include "service.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>
#include <stdexcept>

namespace review {

namespace net = gingerdrift::net;

namespace {
constexpr unsigned values_per_byte = 250;

/// The loopback host of this process. Outgoing connections leave from 127.0.0.1, so that their
/// ports don't collide with those of the servers.
std::string own_host() {
  const auto process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + process / values_per_byte % values_per_byte) + "." +
         std::to_string(1 + process % values_per_byte) + ".1";
}

/// Returns a port of the host that no server uses at the moment, or 0.
std::uint16_t find_free_port(const std::string& host) {
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  if (handle < 0) return 0;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  socklen_t size = sizeof address;
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  const bool found =
      bind(handle, generic, sizeof address) == 0 && getsockname(handle, generic, &size) == 0;
  close(handle);
  return found ? ntohs(address.sin_port) : std::uint16_t{0};
}
}  // namespace

std::string free_address() {
  static std::set<std::uint16_t> used;
  const std::string host = own_host();
  for (int attempt = 0; attempt < 100; ++attempt) {
    const auto port = find_free_port(host);
    if (port != 0 && used.insert(port).second) return host + ":" + std::to_string(port);
  }
  throw std::runtime_error("no free port");
}

net::response json_response(int status, const json& body) {
  return {status, body.dump(), std::nullopt, false};
}

std::string path_of(const std::string& target) { return target.substr(0, target.find('?')); }

std::string query_parameter(const std::string& target, const std::string& name,
                            const std::string& fallback) {
  const auto query = target.find('?');
  if (query == std::string::npos) return fallback;
  std::size_t begin = query + 1;
  while (begin < target.size()) {
    const auto end = std::min(target.find('&', begin), target.size());
    const std::string item = target.substr(begin, end - begin);
    const auto equals = item.find('=');
    if (item.substr(0, equals) == name && equals != std::string::npos)
      return item.substr(equals + 1);
    begin = end + 1;
  }
  return fallback;
}

std::unique_ptr<net::http_server> serve(net::uv_runtime& runtime, const std::string& address,
                                        net::handler_fn handler) {
  static const net::server_limits limits = [] {
    net::server_limits result;
    result.request_body_bytes = std::size_t{64} << 10;
    return result;
  }();
  auto server = std::make_unique<net::http_server>(runtime, limits, std::move(handler));
  if (const auto error = server->listen(address)) throw std::runtime_error(error->message());
  return server;
}

}  // namespace review
