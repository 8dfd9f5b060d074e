#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "cloud/machine_lifecycle.hpp"

namespace gingerdrift::cloud {

/// Address and limits of the cloud, and timeouts for its machines.
struct options {
  std::string cloud_endpoint;  // address of the cloud's API
  double rps = 2;              // calls per second that the cloud allows
  /// Nominal age of the cloud's list of machines; a list may be up to twice as old.
  duration list_lag = seconds(5);
  /// How long a pool counts as refused after the cloud had no capacity for it.
  duration refusal_backoff = seconds(10);
  /// A machine that is still starting after its type's boot time multiplied by this is returned.
  double boot_timeout_factor = 3;
  /// Time after which a running machine without any heartbeat in this term is returned.
  duration first_heartbeat_timeout = seconds(30);
  std::uint32_t machines_max = 10000;  // limit for rented and requested machines together
};

/// Callbacks from the machine inventory to its owner. All run on the inventory's thread.
struct inventory_hooks {
  /// Invoked when a machine has definitely terminated: its task attempts are lost. A machine listed
  /// as failed is reported a second time when it is removed.
  std::function<void(const machine_name& machine, termination_evidence evidence)>
      machine_terminated;
  /// Invoked when machines, machine types or refused pools have changed, so that a scheduling cycle
  /// may be able to place more tasks.
  std::function<void()> changed;
  /// Reports whether the leader's lease is valid. Without a valid lease nothing is sent to the
  /// cloud.
  std::function<bool()> lease_valid;
  /// Returns how much longer than usual machines in a zone are kept without heartbeats.
  std::function<duration(const zone_name& zone)> heartbeat_timeout_extension;
};

}  // namespace gingerdrift::cloud
