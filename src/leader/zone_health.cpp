#include "leader/zone_health.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::leader {

namespace {
/// So many machines of a zone, and at least half of them, count as much of it.
constexpr std::size_t least_machines = 3;
/// A heartbeat is overdue after so many periods: workers vary theirs by a quarter.
constexpr double overdue_periods = 1.5;

bool is_large_part(std::size_t part, std::size_t total) {
  return part >= least_machines && part * 2 >= total;
}

/// Whether a finding about the zone is younger than `lifetime`.
bool is_recent(const std::map<zone_name, time_point>& findings, const zone_name& zone,
               time_point now, duration lifetime) {
  const auto finding = findings.find(zone);
  return finding != findings.end() && now - finding->second < lifetime;
}
}  // namespace

zone_health::zone_health(net::runtime& runtime, const config::platform_settings& platform,
                         const config::operator_settings& rules, workers::reconciler& workers,
                         const cloud::machine_inventory& machines)
    : runtime_(runtime),
      platform_(platform),
      rules_(rules),
      workers_(workers),
      machines_(machines),
      term_start_(runtime.now()) {}

/// All machines that the cloud shows running count, heard of in this term or not: once a successor
/// that had never heard them returned the 491 machines of a zone, and rented as many in that same
/// zone, where they could not reach it either.
std::map<zone_name, zone_health::machine_count> zone_health::count_machines() const {
  const time_point now = runtime_.now();
  std::map<zone_name, machine_count> zones;
  for (const auto& [name, machine] : machines_.all()) {
    const auto* worker = workers_.find(name);
    const bool up = machine.reported_in_term || machine.status == cloud::machine_status::running;
    if (!up || machine.releasing) continue;
    const time_point last_heartbeat =
        worker != nullptr && worker->heard_in_term ? worker->last_heartbeat : time_point{};
    const duration silence = now - std::max({last_heartbeat, machine.running_since, term_start_});
    auto& zone = zones[machine.pool.zone];
    ++zone.total;
    if (silence > silence_limit() / 2) ++zone.silent;
    if (silence > platform_.report * overdue_periods) ++zone.overdue;
    if (worker != nullptr && worker->unreachable_since) ++zone.unreachable;
  }
  return zones;
}

void zone_health::update(const std::set<zone_name>& delegate_zones) {
  const time_point now = runtime_.now();
  unreachable_zones_.clear();
  for (const auto& [zone, machines] : count_machines()) {
    if (is_large_part(machines.unreachable, machines.total)) unreachable_zones_.insert(zone);
    if (is_large_part(machines.overdue, machines.total)) last_overdue_[zone] = now;
    if (!is_large_part(machines.silent, machines.total)) continue;
    if (!cut_off(zone))
      spdlog::info("zone_partitioned zone={} silent={} of={}", zone, machines.silent,
                   machines.total);
    last_cut_off_[zone] = now;
  }
  for (const auto& zone : delegate_zones) last_cut_off_[zone] = now;
}

bool zone_health::cut_off(const zone_name& zone) const {
  return is_recent(last_cut_off_, zone, runtime_.now(), update_period * 2);
}

bool zone_health::in_doubt(const zone_name& zone) const {
  return is_recent(last_overdue_, zone, runtime_.now(), update_period * 2);
}

duration zone_health::allowance(const zone_name& zone) const {
  return is_recent(last_cut_off_, zone, runtime_.now(), platform_.worker_lease) ? cut_off_allowance
                                                                                : duration::zero();
}

duration zone_health::silence_limit() const {
  return rules_.silent_release > duration::zero() ? rules_.silent_release : platform_.worker_lease;
}

}  // namespace gingerdrift::leader
