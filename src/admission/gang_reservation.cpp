#include "admission/gang_reservation.hpp"

namespace gingerdrift::admission {

namespace {
/// Multiple of the reservation delay after which one gang may exceed the share of reserved
/// machines.
constexpr int unlimited_delay_factor = 3;
}  // namespace

void gang_reservation::run() {
  reserved_by_pool_ = cycle_.reservations.count_by_pool();
  bool unlimited_gang_found = false;
  for (const auto index : cycle_.unplaced_jobs_in_order()) {
    const cycle_job& job = cycle_.jobs[index];
    if (!is_eligible(job)) continue;
    const auto machines = best_machines(job);
    const duration waited = cycle_.input.now - job.admission->delay_start;
    const bool unlimited = !unlimited_gang_found &&
                           waited >= cycle_.rules.gang_reservation_delay * unlimited_delay_factor;
    if (unlimited) unlimited_gang_found = true;
    reserve(job, machines, unlimited);
  }
}

bool gang_reservation::is_eligible(const cycle_job& job) const {
  if (!job.view->gang || job.unplaced.size() < 2 || job.admission->preempting_rank) return false;
  if (cycle_.input.now - job.admission->delay_start < cycle_.rules.gang_reservation_delay)
    return false;
  return cycle_.quota.limit_allows(*job.view, job.tasks_at_once());
}

/// Returns the free machines of the first variant that has enough of them; if none has, those of
/// the variant with existing reservations; otherwise those of the variant with the most machines. A
/// gang that has reservations in one zone gets further ones there, because machines reserved in two
/// zones would all be idle.
std::vector<std::size_t> gang_reservation::best_machines(const cycle_job& job) {
  std::vector<std::size_t> best;
  bool found_reservations = false;
  for (const auto& variant : job.admission->variants) {
    if (!variant.active) continue;
    auto machines = placement_.machines_with_capacity(job, variant.target, job.unplaced.size());
    const bool enough = machines.size() == job.unplaced.size();
    const bool has_reservations = !machines.empty() && is_reserved(machines.front());
    const bool is_larger = machines.size() > best.size();
    if (enough || (!found_reservations && (has_reservations || is_larger)))
      best = std::move(machines);
    found_reservations = found_reservations || has_reservations;
    if (enough) break;
  }
  return best;
}

/// Reserves the machines, up to the permitted share of each pool unless `unlimited`, and renews the
/// reservations that exist already.
void gang_reservation::reserve(const cycle_job& job, const std::vector<std::size_t>& machines,
                               bool unlimited) {
  for (const auto machine : machines) {
    if (!is_reserved(machine)) {
      const auto& group = cycle_.capacity.group(cycle_.capacity.machine(machine).group);
      const double limit =
          cycle_.rules.gang_reservation_share * static_cast<double>(group.machines.size());
      const std::size_t reserved = ++reserved_by_pool_[group.pool];
      if (static_cast<double>(reserved) > limit && !unlimited) break;
    }
    cycle_.reservations.reserve(machine, job.view->id);
  }
}

}  // namespace gingerdrift::admission
