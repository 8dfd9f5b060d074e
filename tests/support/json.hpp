#pragma once

#include <nlohmann/json.hpp>

#include "net/transport.hpp"

namespace gingerdrift::testing {

using json = nlohmann::json;

/// Returns a response with a JSON body.
inline net::response json_response(int status, const json& body) {
  return {.status = status, .body = body.dump(), .retry_after = {}};
}

}  // namespace gingerdrift::testing
