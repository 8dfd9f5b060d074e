#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"
#include "kvstore/limits.hpp"

namespace gingerdrift::config {

/// Another controller, as the platform names it.
struct peer {
  node_name node;
  zone_name zone;
  std::string address;
};

/// A team's quota. A limit or guarantee of 0 means none.
struct team {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

/// What the platform hands over (TOML). Unknown fields are ignored.
struct platform_settings {
  node_name node;
  zone_name zone;
  std::string listen;
  std::string peer_listen;
  std::vector<peer> peers;
  std::string cloud;
  std::string state;
  std::vector<zone_name> zones;
  duration clock_offset = milliseconds(100);
  std::vector<team> teams;
  duration worker_heartbeat_interval = seconds(3);
  duration worker_lease = seconds(24);
  duration gang_start_timeout = seconds(50);
  duration gang_peer_loss_timeout = seconds(4);
  /// How soon after its confirmation a cancellation has to be carried out. It may be below the
  /// workers' lease: users are then told once the tasks are gone.
  duration cancellation_deadline = seconds(44);
  kvstore::service_limits state_limits;
  /// What the state service's limits will be from some moment on; it comes without notice.
  std::optional<kvstore::service_limits> announced_state_limits;
  double cloud_rps = 2;
  duration list_lag = seconds(5);
  double memory_mb = 128;
  std::uint32_t max_connections = 1000;
};

/// Reads the platform's file. Throws `settings_error` if a field is missing or out of its range.
platform_settings read_platform_settings(const std::string& file);

}  // namespace gingerdrift::config
