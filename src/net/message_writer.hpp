#pragma once

#include <string>

#include "net/persistence.hpp"
#include "net/transport.hpp"

namespace gingerdrift::net {

/// Returns the bytes of an HTTP/1.1 request. `host` is the value of the Host field.
std::string write_request(const request& message, const std::string& host);
/// Returns the bytes of an HTTP/1.1 response. They include "Connection: close" if `persistence` is
/// close.
std::string write_response(const response& result, connection_persistence persistence);

}  // namespace gingerdrift::net
