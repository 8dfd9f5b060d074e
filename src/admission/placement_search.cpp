#include "admission/placement_search.hpp"

namespace gingerdrift::admission {

namespace {
constexpr auto no_machine = capacity_index::no_machine;
}  // namespace

bool placement_search::is_usable(std::size_t machine, const cycle_job& job) const {
  const auto& slot = capacity_.machine(machine);
  if (!slot.view->ready || !job.allows_zone(slot.view->pool.zone)) return false;
  if (slot.is_reserved() && !slot.is_reserved_for(job.view->id)) return false;
  return job.view->excluded_machines.empty() ||
         job.view->excluded_machines.count(slot.view->name) == 0;
}

bool placement_search::fits(std::size_t machine, const cycle_job& job,
                            const std::vector<std::size_t>& groups) const {
  return job.view->need.fits_in(capacity_.machine(machine).free) &&
         capacity_.is_in_groups(machine, groups) && is_usable(machine, job);
}

bool placement_search::is_fuller(std::size_t machine, std::size_t than) const {
  return than == no_machine || capacity_.free_capacity(machine) < capacity_.free_capacity(than);
}

std::size_t placement_search::fullest_reserved(const cycle_job& job,
                                               const std::vector<std::size_t>& groups) const {
  std::size_t best = no_machine;
  for (const auto machine : reservations_.machines_of(job.view->id)) {
    if (fits(machine, job, groups) && is_fuller(machine, best)) best = machine;
  }
  return best;
}

placement_search::machines_with_image placement_search::best_with_image(
    const cycle_job& job, const std::vector<std::size_t>& groups) const {
  machines_with_image best;
  for (const auto machine : capacity_.machines_with_image(job.view->image)) {
    if (!fits(machine, job, groups)) continue;
    if (capacity_.is_empty(machine)) {
      if (best.empty == no_machine) best.empty = machine;
    } else if (is_fuller(machine, best.in_use)) {
      best.in_use = machine;
    }
  }
  return best;
}

std::size_t placement_search::fullest(const cycle_job& job,
                                      const std::vector<std::size_t>& groups) const {
  const auto& need = job.view->need;
  std::size_t best = no_machine;
  for (const auto index : groups) {
    const auto& group = capacity_.group(index);
    if (!job.allows_zone(group.pool.zone)) continue;
    const auto& order = group.by_free_capacity;
    for (auto entry = first_candidate(order, need); entry != order.end(); ++entry) {
      const std::size_t machine = entry->index;
      if (!need.fits_in(capacity_.machine(machine).free) || !is_usable(machine, job)) continue;
      if (is_fuller(machine, best)) best = machine;
      break;
    }
  }
  return best;
}

std::size_t placement_search::best_fit(const cycle_job& job, const pool& target) {
  const auto& groups = capacity_.groups_of(target);
  const auto reserved = fullest_reserved(job, groups);
  if (reserved != no_machine) return reserved;
  const auto with_image = best_with_image(job, groups);
  if (with_image.in_use != no_machine) return with_image.in_use;
  const auto best = fullest(job, groups);
  // A machine in use is preferred to an empty one with the image, so that the empty one stays free.
  const bool best_is_empty = best == no_machine || capacity_.is_empty(best);
  return with_image.empty != no_machine && best_is_empty ? with_image.empty : best;
}

std::vector<std::size_t> placement_search::machines_with_capacity(const cycle_job& job,
                                                                  const pool& target,
                                                                  std::size_t limit) {
  std::vector<std::size_t> machines;
  const auto& need = job.view->need;
  const auto& groups = capacity_.groups_of(target);
  for (const auto machine : reservations_.machines_of(job.view->id)) {
    if (machines.size() < limit && fits(machine, job, groups)) machines.push_back(machine);
  }
  for (const auto index : groups) {
    const auto& order = capacity_.group(index).by_free_capacity;
    for (auto entry = first_candidate(order, need); entry != order.end() && machines.size() < limit;
         ++entry) {
      const std::size_t machine = entry->index;
      if (need.fits_in(capacity_.machine(machine).free) && is_usable(machine, job))
        machines.push_back(machine);
    }
  }
  return machines;
}

bool placement_search::is_unrestricted(const cycle_job& job) const {
  return job.view->excluded_machines.empty() && !job.view->spread && job.tasks_per_zone.empty() &&
         reservations_.machines_of(job.view->id).empty();
}

}  // namespace gingerdrift::admission
