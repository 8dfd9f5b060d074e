#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

namespace gingerdrift::net {

/// Parses an address such as "10.0.0.1:8080". Returns nullopt unless `address` is an IPv4 address
/// followed by a colon and a port from 1 to 65535.
std::optional<sockaddr_in> parse_address(const std::string& address);

}  // namespace gingerdrift::net
