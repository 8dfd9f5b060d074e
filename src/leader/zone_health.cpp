#include "leader/zone_health.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::leader {

namespace {
/// A condition is widespread in a zone if it affects at least this many machines and at least half
/// of them.
constexpr std::size_t min_affected_machines = 3;
/// A heartbeat is overdue after this many heartbeat intervals. Workers vary the interval by up to a
/// quarter.
constexpr double overdue_intervals = 1.5;

bool is_widespread(std::size_t affected, std::size_t total) {
  return affected >= min_affected_machines && affected * 2 >= total;
}

/// Reports whether the last observation in the zone is younger than `lifetime`.
bool is_recent(const std::map<zone_name, time_point>& observations, const zone_name& zone,
               time_point now, duration lifetime) {
  const auto observation = observations.find(zone);
  return observation != observations.end() && now - observation->second < lifetime;
}
}  // namespace

zone_health::zone_health(net::runtime& runtime, const config::platform_settings& platform,
                         const config::operator_settings& operator_settings,
                         workers::reconciler& workers, const cloud::machine_inventory& machines)
    : runtime_(runtime),
      platform_(platform),
      operator_settings_(operator_settings),
      workers_(workers),
      machines_(machines),
      term_start_(runtime.now()) {}

/// Counts the machines of each zone and their problems.
///
/// Every machine that the cloud lists as running is included, even if it has not sent a heartbeat
/// in this term. Otherwise a new leader does not detect a partition that began before its term.
/// Such a leader once returned the 491 machines of a zone, from which it had never received a
/// heartbeat, and rented as many new machines in the same zone, which could not reach it either.
std::map<zone_name, zone_health::machine_count> zone_health::count_machines() const {
  const time_point now = runtime_.now();
  std::map<zone_name, machine_count> zones;
  for (const auto& [name, machine] : machines_.all()) {
    const auto* worker = workers_.find(name);
    const bool up = machine.reported_in_term || machine.status == cloud::machine_status::running;
    if (!up || machine.releasing) continue;
    const time_point last_heartbeat =
        worker != nullptr && worker->reported_in_term ? worker->last_heartbeat : time_point{};
    const duration heartbeat_age =
        now - std::max({last_heartbeat, machine.running_since, term_start_});
    auto& zone = zones[machine.pool.zone];
    ++zone.total;
    if (heartbeat_age > heartbeat_timeout() / 2) ++zone.unresponsive;
    if (heartbeat_age > platform_.worker_heartbeat_interval * overdue_intervals) ++zone.overdue;
    if (worker != nullptr && worker->unreachable_since) ++zone.unreachable;
  }
  return zones;
}

void zone_health::update(const std::set<zone_name>& delegate_zones) {
  const time_point now = runtime_.now();
  mostly_unreachable_zones_.clear();
  for (const auto& [zone, machines] : count_machines()) {
    if (is_widespread(machines.unreachable, machines.total)) mostly_unreachable_zones_.insert(zone);
    if (is_widespread(machines.overdue, machines.total)) last_mostly_overdue_[zone] = now;
    if (!is_widespread(machines.unresponsive, machines.total)) continue;
    if (!is_partitioned(zone))
      spdlog::info("zone_partitioned zone={} silent={} of={}", zone, machines.unresponsive,
                   machines.total);
    last_partitioned_[zone] = now;
  }
  for (const auto& zone : delegate_zones) last_partitioned_[zone] = now;
}

bool zone_health::is_partitioned(const zone_name& zone) const {
  return is_recent(last_partitioned_, zone, runtime_.now(), update_interval * 2);
}

bool zone_health::is_mostly_overdue(const zone_name& zone) const {
  return is_recent(last_mostly_overdue_, zone, runtime_.now(), update_interval * 2);
}

duration zone_health::partition_grace(const zone_name& zone) const {
  return is_recent(last_partitioned_, zone, runtime_.now(), platform_.worker_lease)
             ? partition_grace_period
             : duration::zero();
}

duration zone_health::heartbeat_timeout() const {
  return operator_settings_.missed_heartbeat_timeout > duration::zero()
             ? operator_settings_.missed_heartbeat_timeout
             : platform_.worker_lease;
}

}  // namespace gingerdrift::leader
