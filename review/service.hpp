#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "net/http_server.hpp"
#include "net/uv_runtime.hpp"

namespace review {

using gingerdrift::duration;
using gingerdrift::from_seconds;
using gingerdrift::time_point;
using gingerdrift::to_seconds;
using json = nlohmann::json;

/// Returns a loopback address with a port that is free at the moment, another one at each call.
std::string free_address();

/// Returns a response with a JSON body.
gingerdrift::net::response json_response(int status, const json& body);

/// Returns the value of a parameter in the query of a request target; `fallback` if it is absent.
std::string query_parameter(const std::string& target, const std::string& name,
                            const std::string& fallback = "");
/// Returns the path of a request target, without its query.
std::string path_of(const std::string& target);

/// Serves an address with the handler. Throws if the address can't be used.
std::unique_ptr<gingerdrift::net::http_server> serve(gingerdrift::net::uv_runtime& runtime,
                                                     const std::string& address,
                                                     gingerdrift::net::handler_fn handler);

}  // namespace review
