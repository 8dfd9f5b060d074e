// Tests that the cloud's list of a large fleet is read completely within the rate budget.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "cloud/machine_inventory.hpp"
#include "support/sim_net.hpp"

namespace gingerdrift::testing {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_page_size = 500;
const std::string list_path = "/rentals";
const std::string page_parameter = "&from=";

net::response error(int status) { return {status, "{}", std::nullopt, false}; }

json listed_machine(const std::string& name) {
  return {{"nameId", name},   {"addr", name + ":9"}, {"flavor", "g8"}, {"yard", "a"},
          {"loaners", false}, {"status", "running"}, {"ageS", 100.0}};
}

/// A cloud that lists its machines in pages and rejects calls above its rate limit.
class listing_cloud {
 public:
  listing_cloud(sim_net& net, std::size_t machine_count, double calls_per_s)
      : net_(net), budget_(calls_per_s) {
    for (std::size_t i = 0; i < machine_count; ++i) names.insert("n-" + std::to_string(100000 + i));
    net.serve("cloud", "cloud:1", [this](const net::request& request, const net::reply_fn& reply) {
      reply(answer(request));
    });
  }
  std::set<std::string> names;     // of the listed machines
  std::size_t rejected_calls = 0;  // because of the rate limit

 private:
  net::response answer(const net::request& request) {
    if (!budget_.try_take(net_.now())) {
      ++rejected_calls;
      return error(429);
    }
    if (!request.target.starts_with(list_path)) return error(503);
    return page_after(last_name_before(request.target));
  }
  /// Returns the name after which the requested page starts, or an empty text for the first page.
  static std::string last_name_before(const std::string& target) {
    const auto position = target.find(page_parameter);
    return position == std::string::npos ? "" : target.substr(position + page_parameter.size());
  }
  net::response page_after(const std::string& last_name) const {
    json hosts = json::array();
    auto next = names.upper_bound(last_name);
    for (; next != names.end() && hosts.size() < max_page_size; ++next)
      hosts.push_back(listed_machine(*next));
    const bool truncated = next != names.end();
    return {200, json({{"hosts", hosts}, {"truncated", truncated}}).dump(), std::nullopt, false};
  }

  sim_net& net_;
  token_bucket budget_;
};

/// An inventory of a large fleet whose rate limit allows only a few calls per second.
class machine_list_reconciliation : public ::testing::Test {
 protected:
  static constexpr std::size_t machine_count = 5000;
  static constexpr double calls_per_s = 2;

  machine_list_reconciliation()
      : cloud(net, machine_count, calls_per_s),
        inventory(runtime, cloud_options(), fencing_token(1), hooks()) {
    inventory.start();
  }
  static cloud::options cloud_options() {
    cloud::options options;
    options.cloud_endpoint = "cloud:1";
    options.rps = calls_per_s;
    return options;
  }
  cloud::machine_inventory::hooks hooks() {
    return {
        .machine_terminated = [this](const machine_name& machine,
                                     cloud::termination_evidence) { terminated.insert(machine); },
        .changed = [] {},
        .lease_valid = [] { return true; },
        // Prevents the inventory from returning machines for lack of heartbeats.
        .heartbeat_timeout_extension = [](const zone_name&) { return duration(seconds(1000)); }};
  }

  sim_net net{1};
  sim_runtime runtime{net, "node-0"};
  listing_cloud cloud;
  std::set<machine_name> terminated;
  cloud::machine_inventory inventory;
};

}  // namespace

TEST_F(machine_list_reconciliation, reads_list_of_thousands_of_machines_completely) {
  net.run_for(seconds(20));
  EXPECT_EQ(inventory.all().size(), machine_count);
  cloud.names.erase("n-100003");
  cloud.names.erase("n-104990");
  net.run_for(seconds(60));
  EXPECT_EQ(terminated, std::set<machine_name>({"n-100003", "n-104990"}));
  EXPECT_EQ(cloud.rejected_calls, 0U);
}

// A list may be older than the previous one and takes long to read. A machine that is absent from a
// single list must not count as terminated.
TEST_F(machine_list_reconciliation, keeps_machine_absent_from_one_list) {
  net.run_for(seconds(20));
  cloud.names.erase("n-100003");
  net.run_for(seconds(14));
  cloud.names.insert("n-100003");
  net.run_for(seconds(60));
  EXPECT_TRUE(terminated.empty());
}

}  // namespace gingerdrift::testing
