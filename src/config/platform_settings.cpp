#include "config/platform_settings.hpp"

#include <set>
#include <sstream>

#include "config/settings_error.hpp"
#include "config/toml_table.hpp"

namespace gingerdrift::config {

namespace {
constexpr number_range quota_range = {0, 1e9};
constexpr number_range rate_range = {1, 1e6};

toml::table parse_toml(const std::string& file) {
  try {
    return toml::parse_file(file);
  } catch (const toml::parse_error& error) {
    std::ostringstream reason;
    reason << error.description() << " (line " << error.source().begin.line << ")";
    throw settings_error(file, "TOML", reason.str());
  }
}

void read_node(const toml_table& root, platform_settings& settings) {
  settings.node = node_name(root.text("host_name"));
  settings.zone = zone_name(root.optional_text("location"));
  settings.listen = root.address("front");
  settings.peer_listen = root.address("mesh_addr");
  root.for_each_table("known", [&](const toml_table& peer) {
    settings.peers.push_back({.node = node_name(peer.text("host_name")),
                              .zone = zone_name(peer.optional_text("location")),
                              .address = peer.address("address")});
  });
  const auto services = root.required_table("services");
  settings.cloud = services.address("cloud");
  settings.state = services.address("state");
}

void read_teams(const toml_table& params, platform_settings& settings) {
  std::set<std::string> names;
  params.for_each_table("teams", [&](const toml_table& table) {
    team team;
    team.name = table.text("name");
    team.cpus = table.number("cpus", 0, quota_range);
    team.cpus_max = table.number("cpus_max", 0, quota_range);
    team.gpus = table.number("gpus", 0, quota_range);
    team.gpus_max = table.number("gpus_max", 0, quota_range);
    const bool is_new = names.insert(team.name).second;
    if (!is_new) table.field_of("name").fail("occurs more than once");
    settings.teams.push_back(team);
  });
}

void read_worker_timing(const toml_table& workers, platform_settings& settings) {
  settings.worker_heartbeat_interval =
      workers.duration_value("report_s", settings.worker_heartbeat_interval, {0.1, 600});
  settings.worker_lease = workers.duration_value("lease_s", settings.worker_lease, {1, 3600});
  settings.gang_start_timeout =
      workers.duration_value("gang_wait_s", settings.gang_start_timeout, {1, 3600});
  settings.gang_peer_loss_timeout =
      workers.duration_value("gang_peer_s", settings.gang_peer_loss_timeout, {0.1, 3600});
  settings.cancellation_deadline =
      workers.duration_value("cancel_s", settings.cancellation_deadline, {1, 7200});
}

/// Reads the limits; a field that is absent takes its value from `fallback`.
kvstore::service_limits read_limits(const toml_table& state,
                                    const kvstore::service_limits& fallback) {
  kvstore::service_limits limits;
  limits.requests_per_s = state.number("rps", fallback.requests_per_s, rate_range);
  limits.writes_per_s = state.number("write_rps", fallback.writes_per_s, rate_range);
  limits.value_kb = state.number("value_kb", fallback.value_kb, {1, 1024});
  limits.txn_operations =
      static_cast<std::uint32_t>(state.number("txn_ops", fallback.txn_operations, {4, 10000}));
  return limits;
}

void read_state_limits(const toml_table& state, platform_settings& settings) {
  settings.state_limits = read_limits(state, settings.state_limits);
  if (state.has("next"))
    settings.announced_state_limits =
        read_limits(state.required_table("next"), settings.state_limits);
}

void read_cloud(const toml_table& cloud, platform_settings& settings) {
  settings.cloud_rps = cloud.number("rps", settings.cloud_rps, {0.1, 1e6});
  settings.list_lag = cloud.duration_value("list_lag_s", settings.list_lag, {0, 600});
}

void read_machine_limits(const toml_table& limits, platform_settings& settings) {
  settings.memory_mb = limits.number("memory_mb", settings.memory_mb, {16, 1e7});
  settings.max_connections = static_cast<std::uint32_t>(
      limits.number("max_connections", settings.max_connections, {32, 1e6}));
}
}  // namespace

platform_settings read_platform_settings(const std::string& file) {
  constexpr double ms_per_s = 1000;
  constexpr double default_clock_offset_ms = 100;
  const toml::table parsed = parse_toml(file);
  const toml_table root(file, parsed);
  platform_settings settings;
  read_node(root, settings);
  const auto params = root.required_table("params");
  settings.zones = ids_of<zone_name>(params.texts("zones"));
  settings.clock_offset = from_seconds(
      params.number("clock_off_ms", default_clock_offset_ms, {0, 60 * ms_per_s}) / ms_per_s);
  read_teams(params, settings);
  read_worker_timing(params.optional_table("workers"), settings);
  read_state_limits(params.optional_table("state"), settings);
  read_cloud(params.optional_table("cloud"), settings);
  read_machine_limits(params.optional_table("machine_limits"), settings);
  return settings;
}

}  // namespace gingerdrift::config
