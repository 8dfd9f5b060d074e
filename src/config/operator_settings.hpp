#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace gingerdrift::config {

/// Settings that the operators choose (XML). Every field has a default; unknown elements are
/// errors. docs/operations.md explains each field.
struct operator_settings {
  // leadership
  duration leader_lease = seconds(4);
  // admission
  std::vector<std::string> pool_order = {"spot", "on_demand"};
  duration variant_creation_delay = seconds(5);
  duration contested_pool_delay = seconds(45);
  duration lower_pool_scale_out_delay = seconds(20);
  duration variant_deletion_delay = seconds(60);
  duration upgrade_min_remaining = seconds(120);
  duration reservation_ttl = seconds(20);
  duration gang_reservation_delay = seconds(60);
  double gang_reservation_share = 0.03;
  duration min_scheduling_interval = milliseconds(100);
  // fleet
  duration idle_machine_timeout = seconds(25);
  duration refusal_backoff = seconds(10);
  double boot_timeout_factor = 3.0;
  duration missed_heartbeat_timeout = seconds(0);  // 0: as long as a worker's lease
  std::uint32_t machines_max = 10000;
  // workers
  std::uint32_t quarantine_after_failed_jobs = 2;
  duration failing_job_backoff = seconds(10);
  // front
  std::uint32_t max_waiting_submissions = 64;
  std::uint32_t terminal_state_cache_size = 16384;
};

/// Reads the operators' settings file. Throws `settings_error` if the file is malformed, if an
/// element is unknown or occurs twice, or if a value is out of its range.
operator_settings read_operator_settings(const std::string& file);

}  // namespace gingerdrift::config
