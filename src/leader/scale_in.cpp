#include "leader/scale_in.hpp"

#include <algorithm>

namespace gingerdrift::leader {

namespace {
/// The cloud charges at least this much time for a machine, so an idle machine is not returned
/// earlier.
constexpr auto min_rental_time = seconds(60);
/// A pool's reserve of idle machines is its size divided by this number, but at least
/// min_idle_reserve machines.
constexpr std::size_t idle_reserve_divisor = 20;
constexpr std::size_t min_idle_reserve = 4;
/// Idle machines in excess of the reserve are returned after this fraction of the configured idle
/// time.
constexpr double early_return_factor = 0.4;
/// How much longer than the heartbeat timeout an unreachable machine is kept.
constexpr duration unreachable_grace = seconds(10);
/// An unreachable machine is returned only after this many unanswered probes. After a partition of
/// a large zone, many machines wait for their turn to be probed.
constexpr std::uint32_t min_unanswered_probes = 3;
/// How long a machine stays quarantined before it is returned. If the jobs that failed on it also
/// fail on other machines within this time, its quarantine is lifted.
constexpr duration max_quarantine_time = seconds(15);
}  // namespace

scale_in::scale_in(const term_context& context, const zone_health& zones,
                   const decision_applier& decisions)
    : runtime_(context.runtime),
      platform_(context.platform),
      operator_settings_(context.operator_settings),
      workers_(context.workers),
      machines_(context.machines),
      zones_(zones),
      decisions_(decisions),
      term_start_(runtime_.now()) {}

void scale_in::release_machines() {
  std::map<admission::pool, std::vector<idle_machine>> idle_by_pool;
  for (const auto& [name, worker] : workers_.all()) {
    if (machines_.is_releasing(name)) continue;
    if (const auto reason = release_reason_of(worker)) {
      machines_.release(name, *reason);
    } else if (is_idle(worker)) {
      idle_by_pool[worker.pool].push_back({worker.idle_since, name});
    }
  }
  for (auto& [pool, idle] : idle_by_pool) release_idle(pool, std::move(idle));
}

std::optional<cloud::release_reason> scale_in::release_reason_of(
    const workers::worker& worker) const {
  if (!worker.reported_in_term) {
    if (never_reported(worker)) return cloud::release_reason::never_heard_from;
    return std::nullopt;
  }
  if (has_timed_out(worker)) return cloud::release_reason::silent;
  if (is_unreachable(worker)) return cloud::release_reason::unreachable;
  const bool quarantine_expired =
      worker.quarantined_since && runtime_.now() - *worker.quarantined_since >= max_quarantine_time;
  if (quarantine_expired && is_unoccupied(worker)) return cloud::release_reason::quarantined;
  return std::nullopt;
}

/// Reports whether a machine that has stored attempts and sent no heartbeat in this term has had
/// enough time to send one. The caller checks that the machine sent none.
bool scale_in::never_reported(const workers::worker& worker) const {
  if (worker.attempts.empty()) return false;
  const auto machine = machines_.all().find(worker.name);
  const zone_name zone = machine == machines_.all().end() ? zone_name() : machine->second.pool.zone;
  return runtime_.now() - term_start_ > zones_.heartbeat_timeout() + zones_.partition_grace(zone);
}

bool scale_in::has_timed_out(const workers::worker& worker) const {
  const zone_name& zone = worker.pool.zone;
  const duration heartbeat_age = runtime_.now() - worker.last_heartbeat;
  const duration regular_timeout = zones_.heartbeat_timeout();
  // If the heartbeats of a spot machine stop, the cloud has most likely taken it back without
  // notice.
  const duration timeout =
      worker.pool.spot ? std::max(regular_timeout / 2, platform_.worker_heartbeat_interval * 3)
                       : regular_timeout;
  if (heartbeat_age <= timeout + zones_.partition_grace(zone)) return false;
  return heartbeat_age > regular_timeout + zone_health::partition_grace_period ||
         !zones_.is_mostly_overdue(zone);
}

bool scale_in::is_unreachable(const workers::worker& worker) const {
  return worker.unreachable_since &&
         runtime_.now() - *worker.unreachable_since >
             zones_.heartbeat_timeout() + unreachable_grace &&
         worker.unanswered_probes >= min_unanswered_probes &&
         !zones_.is_mostly_unreachable(worker.pool.zone);
}

/// Reports whether the machine has no tasks, and this is not because it is unreachable or in a
/// partitioned zone.
bool scale_in::is_unoccupied(const workers::worker& worker) const {
  // Nothing is placed on an unreachable machine until it has answered a probe, and after a
  // partition of a large zone its turn may come late. Such a machine does not count as idle: a
  // third of a zone was once returned while its machines waited to be probed.
  if (worker.unreachable_since) return false;
  if (!worker.attempts.empty() || worker.runs_unknown_tasks) return false;
  // The tasks of a machine in a partitioned zone end when their lease expires, but this does not
  // mean that the machine is no longer needed.
  return !(workers_.heartbeat_overdue(worker) &&
           zones_.partition_grace(worker.pool.zone) > duration::zero());
}

bool scale_in::is_idle(const workers::worker& worker) const {
  return worker.reported_in_term && is_unoccupied(worker) && !worker.quarantined_since &&
         !decisions_.is_awaited(worker.name);
}

/// Releases machines that have been idle for long, the longest idle first.
///
/// In a large pool, many machines become idle or busy at the same time, and only a part of them is
/// needed for the next jobs. Idle machines in excess of a reserve are therefore released earlier.
void scale_in::release_idle(const admission::pool& pool, std::vector<idle_machine> idle) {
  const time_point now = runtime_.now();
  std::size_t pool_size = 0;
  for (const auto& [name, machine] : machines_.all()) pool_size += machine.pool == pool;
  const std::size_t reserve = std::max(min_idle_reserve, pool_size / idle_reserve_divisor);
  std::sort(idle.begin(), idle.end());
  std::size_t remaining_idle = idle.size();
  for (const auto& [idle_since, name] : idle) {
    const duration idle_time = now - idle_since;
    const bool early = remaining_idle > reserve &&
                       idle_time >= operator_settings_.idle_machine_timeout * early_return_factor;
    if (!early && idle_time < operator_settings_.idle_machine_timeout) break;
    if (!has_reached_min_rental_time(name)) continue;
    machines_.release(name, cloud::release_reason::idle);
    --remaining_idle;
  }
}

bool scale_in::has_reached_min_rental_time(const machine_name& name) const {
  const auto machine = machines_.all().find(name);
  return machine == machines_.all().end() ||
         runtime_.now() - machine->second.rental_start >= min_rental_time;
}

}  // namespace gingerdrift::leader
