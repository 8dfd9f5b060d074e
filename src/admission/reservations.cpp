#include "admission/reservations.hpp"

namespace gingerdrift::admission {

void cycle_reservations::restore(const std::set<job_id>& waiting_jobs) {
  std::erase_if(stored_, [&](const auto& entry) {
    const auto& [name, held] = entry;
    return now_ >= held.until || waiting_jobs.count(held.job) == 0 ||
           capacity_.find(name) == capacity_index::no_machine;
  });
  for (const auto& [name, held] : stored_) {
    const auto machine = capacity_.find(name);
    capacity_.reserve(machine, held.job);
    machines_by_job_[held.job].push_back(machine);
  }
}

void cycle_reservations::reserve(std::size_t machine, const job_id& job) {
  const auto& slot = capacity_.machine(machine);
  const bool is_new = !slot.is_reserved_for(job);
  stored_[slot.view->name] = {job, now_ + ttl_};
  capacity_.reserve(machine, job);
  if (is_new) machines_by_job_[job].push_back(machine);
}

const std::vector<std::size_t>& cycle_reservations::machines_of(const job_id& job) const {
  static const std::vector<std::size_t> no_machines;
  const auto entry = machines_by_job_.find(job);
  return entry == machines_by_job_.end() ? no_machines : entry->second;
}

std::map<pool, std::size_t> cycle_reservations::count_by_pool() const {
  std::map<pool, std::size_t> counts;
  for (const auto& [name, held] : stored_)
    ++counts[capacity_.machine(capacity_.find(name)).view->pool];
  return counts;
}

}  // namespace gingerdrift::admission
