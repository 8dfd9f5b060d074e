#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "support/sim_net.hpp"

namespace gingerdrift::testing {

/// A cloud that records all calls and answers each with the response that the test has set.
class scripted_cloud {
 public:
  explicit scripted_cloud(sim_net& net) {
    net.serve("cloud", address, [this](const net::request& request, const net::reply_fn& reply) {
      calls.push_back(request);
      reply(answer);
    });
  }
  /// Returns a client of this cloud with a rate limit that no test reaches.
  static cloud::cloud_client client(net::runtime& runtime) {
    return {runtime, address, 1000, [] { return true; }};
  }
  /// Returns a field of the JSON body of the call with that index.
  nlohmann::json sent_field(std::size_t call, const std::string& field) const {
    return nlohmann::json::parse(calls.at(call).body).at(field);
  }

  std::vector<net::request> calls;
  net::response answer;  // to all further calls; status 0 stands for no response

 private:
  static constexpr const char* address = "cloud:1";
};

}  // namespace gingerdrift::testing
