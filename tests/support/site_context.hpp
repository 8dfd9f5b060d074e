#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kvstore/limits.hpp"
#include "support/rule_violations.hpp"
#include "support/sim_job.hpp"
#include "support/sim_net.hpp"

namespace gingerdrift::testing {

/// Settings and size of a simulated deployment.
struct site_parameters {
  double heartbeat_s = 1;   // time between two heartbeats of a worker
  double lease_s = 6;       // duration of a worker's lease
  double gang_wait_s = 15;  // time that a gang member waits for the other members to start
  double gang_peer_s = 3;   // time that a running gang member continues after another is lost
  /// Time after a confirmed cancellation from which no task of the job may run any more.
  double cancel_s = 14;
  double boot_s = 5;                   // typical boot time of a machine
  double list_lag_s = 2;               // typical age of the machine lists that the cloud returns
  double scheduling_interval_s = 0.1;  // time between two scheduling cycles
  double quota_factor = 1;             // factor on the default guarantees and limits of the teams
  std::size_t capacity = 6;            // machines per zone and kind (on demand or spot)
  std::uint32_t final_cache = 4096;    // number of terminal states that a controller caches
  /// Limits of each controller's calls to one address; none by default.
  std::optional<call_limits> controller_calls;
  /// Future limits of the state service that the settings announce.
  std::optional<kvstore::service_limits> announced;
};

/// State shared by the simulated systems of one deployment.
struct site_context {
  site_context(sim_net& network, site_parameters initial_parameters,
               std::vector<std::string> front_addresses)
      : net(network),
        parameters(initial_parameters),
        controller_addresses(std::move(front_addresses)),
        violations(network) {}

  sim_net& net;
  site_parameters parameters;
  /// Where controllers serve users and workers, by controller index.
  std::vector<std::string> controller_addresses;
  std::map<std::string, double> limits;  // maximum number of GPUs by team
  std::map<std::string, sim_job> jobs;   // submitted jobs by id
  /// Counts of the events that a trace can expect, by the names that traces use
  /// (tests/traces/README.md).
  std::map<std::string, std::size_t> event_counts;
  rule_violations violations;
  /// Returns the address at which controllers reach a machine.
  std::function<std::string(const std::string& machine)> machine_address =
      [](const std::string& machine) { return machine + ":9"; };
};

/// Returns the host of an address HOST:PORT.
inline std::string host_of(const std::string& address) {
  return address.substr(0, address.find(':'));
}

}  // namespace gingerdrift::testing
