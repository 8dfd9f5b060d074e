#include "leader/scale_in.hpp"

#include <algorithm>

namespace gingerdrift::leader {

namespace {
/// A machine costs at least this much time, so it is not returned before.
constexpr auto minimum_paid_time = seconds(60);
/// Idle machines beyond this share of their pool, and beyond so many, go after this part of the
/// time that the settings give.
constexpr std::size_t idle_share = 20;
constexpr std::size_t least_idle_reserve = 4;
constexpr double early_return_factor = 0.4;
constexpr duration unreachable_patience = seconds(10);
/// So many probes that a machine did not answer: after a cut of a large zone many wait for theirs.
constexpr std::uint32_t least_unanswered_probes = 3;
/// Time for the jobs that failed on a machine to fail elsewhere too, which clears it.
constexpr duration quarantine_patience = seconds(15);
}  // namespace

scale_in::scale_in(const term_context& context, const zone_health& zones,
                   const decision_applier& decisions)
    : runtime_(context.runtime),
      platform_(context.platform),
      rules_(context.rules),
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
  if (!worker.heard_in_term) {
    if (never_heard_from(worker)) return cloud::release_reason::never_heard_from;
    return std::nullopt;
  }
  if (is_lost(worker)) return cloud::release_reason::silent;
  if (is_unreachable(worker)) return cloud::release_reason::unreachable;
  const bool quarantined_for_long =
      worker.quarantined_since && runtime_.now() - *worker.quarantined_since >= quarantine_patience;
  if (quarantined_for_long && surely_unoccupied(worker)) return cloud::release_reason::quarantined;
  return std::nullopt;
}

/// Stored attempts on a machine that sent no heartbeat in this term.
bool scale_in::never_heard_from(const workers::worker& worker) const {
  if (worker.attempts.empty()) return false;
  const auto machine = machines_.all().find(worker.name);
  const zone_name zone = machine == machines_.all().end() ? zone_name() : machine->second.pool.zone;
  return runtime_.now() - term_start_ > zones_.silence_limit() + zones_.allowance(zone);
}

bool scale_in::is_lost(const workers::worker& worker) const {
  const zone_name& zone = worker.pool.zone;
  const duration silence = runtime_.now() - worker.last_heartbeat;
  const duration limit = zones_.silence_limit();
  // A spot machine that falls silent has most likely been taken without notice.
  const duration patience = worker.pool.spot ? std::max(limit / 2, platform_.report * 3) : limit;
  if (silence <= patience + zones_.allowance(zone)) return false;
  return silence > limit + zone_health::cut_off_allowance || !zones_.in_doubt(zone);
}

bool scale_in::is_unreachable(const workers::worker& worker) const {
  return worker.unreachable_since &&
         runtime_.now() - *worker.unreachable_since >
             zones_.silence_limit() + unreachable_patience &&
         worker.unanswered_probes >= least_unanswered_probes &&
         !zones_.unreachable(worker.pool.zone);
}

/// Runs nothing, and could take work if it were well.
bool scale_in::surely_unoccupied(const workers::worker& worker) const {
  // Nothing is placed there until it has been probed, which takes its turn after a cut of a large
  // zone: that is not idleness. A third of such a zone was once returned while it waited.
  if (worker.unreachable_since) return false;
  if (!worker.attempts.empty() || worker.runs_unknown_tasks) return false;
  // Behind a cut its tasks are over with their lease, but it is no more idle than it was.
  return !(workers_.heartbeat_overdue(worker) &&
           zones_.allowance(worker.pool.zone) > duration::zero());
}

bool scale_in::is_idle(const workers::worker& worker) const {
  return worker.heard_in_term && surely_unoccupied(worker) && !worker.quarantined_since &&
         !decisions_.is_expected(worker.name);
}

/// Machines that are idle for long go back, the longest idle first. A large pool falls idle and
/// busy again by many machines at once, and needs only a part of them for its next jobs.
void scale_in::release_idle(const admission::pool& pool, std::vector<idle_machine> idle) {
  const time_point now = runtime_.now();
  std::size_t pool_size = 0;
  for (const auto& [name, machine] : machines_.all()) pool_size += machine.pool == pool;
  const std::size_t reserve = std::max(least_idle_reserve, pool_size / idle_share);
  std::sort(idle.begin(), idle.end());
  std::size_t left = idle.size();
  for (const auto& [idle_since, name] : idle) {
    const duration idle_time = now - idle_since;
    const bool early = left > reserve && idle_time >= rules_.idle_return * early_return_factor;
    if (!early && idle_time < rules_.idle_return) break;
    if (!paid_long_enough(name)) continue;
    machines_.release(name, cloud::release_reason::idle);
    --left;
  }
}

bool scale_in::paid_long_enough(const machine_name& name) const {
  const auto machine = machines_.all().find(name);
  return machine == machines_.all().end() ||
         runtime_.now() - machine->second.rental_start >= minimum_paid_time;
}

}  // namespace gingerdrift::leader
