#include "net/address.hpp"

#include <uv.h>

#include <charconv>

namespace gingerdrift::net {

namespace {

constexpr int lowest_port = 1;
constexpr int highest_port = 65535;

std::optional<int> parse_port(const char* first, const char* last) {
  int port = 0;
  const auto parsed = std::from_chars(first, last, port);
  if (parsed.ec != std::errc() || parsed.ptr != last) return std::nullopt;
  if (port < lowest_port || port > highest_port) return std::nullopt;
  return port;
}

}  // namespace

std::optional<sockaddr_in> parse_address(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const char* const text = address.data();
  const auto port = parse_port(text + colon + 1, text + address.size());
  if (!port) return std::nullopt;
  sockaddr_in parsed{};
  if (uv_ip4_addr(address.substr(0, colon).c_str(), *port, &parsed) != 0) return std::nullopt;
  return parsed;
}

}  // namespace gingerdrift::net
