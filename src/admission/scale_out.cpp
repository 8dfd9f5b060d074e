#include "admission/scale_out.hpp"

namespace gingerdrift::admission {

void scale_out_planner::run() {
  for (const auto& machine : cycle_.input.machines) {
    ++machines_by_pool_[machine->pool];
    if (machine->starting) planned_.add(machine->pool, machine->free, machine->name);
  }
  for (const auto index : cycle_.unplaced_jobs_in_order()) plan(cycle_.jobs[index]);
}

void scale_out_planner::plan(cycle_job& job) {
  auto tasks = static_cast<std::uint32_t>(job.unplaced.size());
  std::optional<zone_name> zone;
  if (job.view->gang && job.view->one_zone) {
    zone = best_zone(job, tasks);
    if (!zone) return;
  }
  std::vector<const variant*> eligible;
  for (const auto& variant : job.admission->variants) {
    if (variant.active && (!zone || variant.target.zone == *zone)) eligible.push_back(&variant);
  }
  if (job.view->gang) {
    // Free machines that are too few for the gang now will be part of its capacity once the missing
    // machines are up.
    for (const auto* variant : eligible) tasks -= use_free_machines(job, variant->target, tasks);
  }
  for (const auto* variant : eligible) {
    if (tasks == 0) break;
    tasks -= planned_.pack(job, variant->target, tasks);
  }
  const bool lower_pools_may_grow =
      cycle_.input.now - job.admission->delay_start >= cycle_.rules.lower_pool_scale_out_delay;
  for (const auto* variant : eligible) {
    if (tasks == 0) break;
    if (variant->tier == 0 || lower_pools_may_grow)
      tasks -= pack_new_machines(job, variant->target, tasks);
  }
}

/// Returns the zone in which the most machines that the gang needs are free or starting: if the
/// missing machines were rented in another zone, the gang could use neither group of machines.
std::optional<zone_name> scale_out_planner::best_zone(const cycle_job& job, std::size_t tasks) {
  std::optional<zone_name> best;
  zone_score best_score;
  for (const auto& variant : job.admission->variants) {
    const pool& target = variant.target;
    if (!variant.active || target.zone.empty() || !job.allows_zone(target.zone)) continue;
    std::size_t available = placement_.machines_with_capacity(job, target, tasks).size();
    available += planned_.count_candidates(target, job.view->need, tasks - available);
    if (available < tasks && cycle_.input.refused_pools.count(target) != 0) continue;
    const zone_score score{available, -static_cast<std::int64_t>(machines_in(target))};
    if (best && score <= best_score) continue;
    best = target.zone;
    best_score = score;
  }
  return best;
}

std::uint32_t scale_out_planner::use_free_machines(cycle_job& job, const pool& target,
                                                   std::uint32_t tasks) {
  std::uint32_t used = 0;
  for (const auto machine : placement_.machines_with_capacity(job, target, tasks)) {
    if (used == tasks || !cycle_.quota.limit_allows(*job.view, 1)) break;
    cycle_.capacity.allocate(machine, job.view->need);
    cycle_.quota.add_planned_task(*job.view);
    ++job.tasks_per_zone[cycle_.capacity.zone(machine)];
    cycle_.result.needed_machines.insert(cycle_.capacity.machine(machine).view->name);
    ++used;
  }
  return used;
}

std::uint32_t scale_out_planner::pack_new_machines(cycle_job& job, const pool& target,
                                                   std::uint32_t tasks) {
  std::uint32_t packed = 0;
  for (const auto& type : cycle_.input.types) {
    if (type.name == target.type) packed += pack_new_machines(job, target, type, tasks - packed);
  }
  return packed;
}

/// Adds machines of one type to rent until all tasks are packed or no more machines can be added.
/// Returns the number of packed tasks.
std::uint32_t scale_out_planner::pack_new_machines(cycle_job& job, const pool& target,
                                                   const machine_type& type, std::uint32_t tasks) {
  std::uint32_t packed = 0;
  while (packed < tasks && cycle_.quota.limit_allows(*job.view, 1)) {
    const auto rented_pool = pool_with_fewest_machines(type, target, job);
    if (!rented_pool) break;
    planned_.add(*rented_pool, type.size, "");
    ++cycle_.result.scale_out[*rented_pool];
    ++machines_by_pool_[*rented_pool];
    const auto newly_packed = planned_.pack(job, *rented_pool, tasks - packed);
    if (newly_packed == 0) break;
    packed += newly_packed;
  }
  return packed;
}

/// Returns the pool in which to rent the next machine for a variant: the one in the allowed zone
/// with the fewest machines of this kind, so that the failure of a zone affects no more than its
/// share.
std::optional<pool> scale_out_planner::pool_with_fewest_machines(const machine_type& type,
                                                                 const pool& target,
                                                                 const cycle_job& job) const {
  std::optional<pool> best;
  std::uint32_t fewest = 0;
  for (const auto& zone : type.zones) {
    if (!target.zone.empty() && target.zone != zone) continue;
    const pool candidate{type.name, zone, target.spot};
    if (cycle_.input.refused_pools.count(candidate) != 0 || !job.allows_zone(zone)) continue;
    const std::uint32_t machines = machines_in(candidate);
    if (best && machines >= fewest) continue;
    best = candidate;
    fewest = machines;
  }
  return best;
}

std::uint32_t scale_out_planner::machines_in(const pool& in_pool) const {
  const auto entry = machines_by_pool_.find(in_pool);
  return entry == machines_by_pool_.end() ? 0 : entry->second;
}

}  // namespace gingerdrift::admission
