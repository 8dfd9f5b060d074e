#include "support/settings_text.hpp"

#include <sstream>

namespace gingerdrift::testing {

config::platform_settings platform_settings_of(const site_parameters& parameters) {
  config::platform_settings settings;
  settings.zones = {"a", "b"};
  const auto team = [&parameters](const char* name, double gpus, double gpus_max) {
    return config::team{.name = name,
                        .gpus = gpus * parameters.quota_factor,
                        .gpus_max = gpus_max * parameters.quota_factor};
  };
  settings.teams = {team("red", 16, 32), team("blue", 8, 48), team("guest", 0, 24)};
  settings.worker_heartbeat_interval = from_seconds(parameters.heartbeat_s);
  settings.worker_lease = from_seconds(parameters.lease_s);
  settings.gang_start_timeout = from_seconds(parameters.gang_wait_s);
  settings.gang_peer_loss_timeout = from_seconds(parameters.gang_peer_s);
  settings.cancellation_deadline = from_seconds(parameters.cancel_s);
  settings.list_lag = from_seconds(parameters.list_lag_s);
  settings.state_limits = {
      .requests_per_s = 150, .writes_per_s = 60, .value_kb = 8, .txn_operations = 24};
  settings.cloud_rps = 4;
  settings.announced_state_limits = parameters.announced;
  return settings;
}

std::string settings_text(const config::platform_settings& own) {
  std::ostringstream out;
  out << "host_name = \"" << own.node << "\"\nlocation = \"" << own.zone << "\"\n"
      << "front = \"" << own.listen << "\"\nmesh_addr = \"" << own.peer_listen << "\"\n";
  for (const auto& peer : own.peers) {
    out << "[[known]]\nhost_name = \"" << peer.node << "\"\nlocation = \"" << peer.zone
        << "\"\naddress = \"" << peer.address << "\"\n";
  }
  out << "[services]\ncloud = \"" << own.cloud << "\"\nstate = \"" << own.state << "\"\n"
      << "[params]\n";
  for (const auto& team : own.teams) {
    out << "[[params.teams]]\nname = \"" << team.name << "\"\ngpus = " << team.gpus
        << "\ngpus_max = " << team.gpus_max << "\n";
  }
  out << "[params.workers]\nreport_s = " << to_seconds(own.worker_heartbeat_interval)
      << "\nlease_s = " << to_seconds(own.worker_lease)
      << "\ngang_wait_s = " << to_seconds(own.gang_start_timeout)
      << "\ngang_peer_s = " << to_seconds(own.gang_peer_loss_timeout)
      << "\ncancel_s = " << to_seconds(own.cancellation_deadline) << "\n";
  const auto write_limits = [&out](const char* table, const kvstore::service_limits& limits) {
    out << "[params." << table << "]\nrps = " << limits.requests_per_s
        << "\nwrite_rps = " << limits.writes_per_s << "\nvalue_kb = " << limits.value_kb
        << "\ntxn_ops = " << limits.txn_operations << "\n";
  };
  write_limits("state", own.state_limits);
  if (own.announced_state_limits) write_limits("state.next", *own.announced_state_limits);
  out << "[params.cloud]\nrps = " << own.cloud_rps << "\nlist_lag_s = " << to_seconds(own.list_lag)
      << "\n";
  return out.str();
}

}  // namespace gingerdrift::testing
