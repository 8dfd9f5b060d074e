#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "kvstore/limits.hpp"

namespace gingerdrift::config {

/// Another controller, as listed in the platform's settings.
struct peer {
  node_name node;
  zone_name zone;
  std::string address;
};

/// A team's quota: a guaranteed amount (`cpus`, `gpus`) and a limit (`cpus_max`, `gpus_max`). A
/// guarantee or limit of 0 means none.
struct team {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

/// Settings that the platform provides (TOML). Unknown fields are ignored. Addresses are an
/// IPv4 address with a port.
struct platform_settings {
  node_name node;
  zone_name zone;
  /// Address that this controller serves users and workers on.
  std::string listen;
  /// Address that this controller serves its peers on.
  std::string peer_listen;
  std::vector<peer> peers;
  /// Address of the cloud's API.
  std::string cloud;
  /// Address of the state service.
  std::string state;
  std::vector<zone_name> zones;
  duration clock_offset = milliseconds(100);
  std::vector<team> teams;
  duration worker_heartbeat_interval = seconds(3);
  duration worker_lease = seconds(24);
  duration gang_start_timeout = seconds(50);
  duration gang_peer_loss_timeout = seconds(4);
  /// Maximum time from the confirmation of a cancellation until it has been carried out. If it is
  /// shorter than the workers' lease, a cancellation is confirmed to its user only once the job's
  /// tasks are gone.
  duration cancellation_deadline = seconds(44);
  kvstore::service_limits state_limits;
  /// Limits that the state service will change to. The change comes into force without notice.
  std::optional<kvstore::service_limits> announced_state_limits;
  /// Requests per second that the cloud permits.
  double cloud_rps = 2;
  /// Time that the machine list returned by the cloud may lag behind the actual state.
  duration list_lag = seconds(5);
  double memory_mb = 128;
  std::uint32_t max_connections = 1000;
};

/// Reads the platform's settings file. Throws `settings_error` if the file is malformed, or if a
/// field is missing, of the wrong type or out of its range.
platform_settings read_platform_settings(const std::string& file);

}  // namespace gingerdrift::config
