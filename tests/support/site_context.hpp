#pragma once

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
  double heartbeat_s = 1;   // between two heartbeats of a worker
  double lease_s = 6;       // of a worker
  double gang_wait_s = 15;  // that a member of a gang waits for the others to start
  double gang_peer_s = 3;   // that a running member goes on after another was lost
  double cancel_s = 14;     // from a confirmed cancellation until no task of the job may run
  double boot_s = 5;        // of a machine
  double list_lag_s = 2;    // of the cloud's list of machines
  double scheduling_interval_s = 0.1;  // between two scheduling cycles
  double quota_factor = 1;   // how many times the usual guarantees and limits the teams have
  std::size_t capacity = 6;  // machines of each zone, and of each kind: on demand or spot
  std::uint32_t final_cache = 4096;  // terminal states that a controller caches
  /// What the settings announce as the state service's limits to come.
  std::optional<kvstore::service_limits> announced;
};

/// What the stand-ins of one simulated deployment share.
struct site_context {
  site_context(sim_net& network, site_parameters settings, std::vector<std::string> front_addresses)
      : net(network),
        parameters(settings),
        controller_addresses(std::move(front_addresses)),
        violations(network) {}

  sim_net& net;
  site_parameters parameters;
  std::vector<std::string> controller_addresses;  // where controllers serve users and workers
  std::map<std::string, double> limits;           // team -> GPUs it may use at most
  std::map<std::string, sim_job> jobs;            // submitted, by id
  /// How often what a trace may expect has happened, by the names that traces use
  /// (tests/traces/README.md).
  std::map<std::string, std::size_t> event_counts;
  rule_violations violations;
};

/// The host of an address HOST:PORT.
inline std::string host_of(const std::string& address) {
  return address.substr(0, address.find(':'));
}

}  // namespace gingerdrift::testing
