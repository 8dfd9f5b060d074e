#include "admission/planned_machines.hpp"

namespace gingerdrift::admission {

void planned_machines::add(const pool& in_pool, const resources& free, const machine_name& name) {
  by_free_capacity_[in_pool].insert({free.gpus, free.cpus, machines_.size()});
  machines_.push_back({in_pool, free, name});
}

std::size_t planned_machines::count_candidates(const pool& in_pool, const resources& need,
                                               std::size_t limit) const {
  const auto entry = by_free_capacity_.find(in_pool);
  if (entry == by_free_capacity_.end()) return 0;
  const auto& order = entry->second;
  std::size_t count = 0;
  for (auto key = first_candidate(order, need); key != order.end() && count < limit; ++key) ++count;
  return count;
}

std::uint32_t planned_machines::fill(planned_machine& machine, cycle_job& job,
                                     std::uint32_t tasks) {
  std::uint32_t packed = 0;
  while (packed < tasks && job.view->need.fits_in(machine.free) &&
         job.allows_zone(machine.pool.zone) && quota_.limit_allows(*job.view, 1)) {
    machine.free -= job.view->need;
    quota_.add_planned_task(*job.view);
    ++job.tasks_per_zone[machine.pool.zone];
    ++packed;
  }
  return packed;
}

std::uint32_t planned_machines::pack(cycle_job& job, const pool& target, std::uint32_t tasks) {
  std::uint32_t packed = 0;
  for (auto& [machine_pool, order] : by_free_capacity_) {
    if (target.covers(machine_pool)) packed += pack_pool(order, job, tasks - packed);
  }
  return packed;
}

std::uint32_t planned_machines::pack_pool(free_capacity_order& order, cycle_job& job,
                                          std::uint32_t tasks) {
  std::uint32_t packed = 0;
  auto entry = first_candidate(order, job.view->need);
  while (entry != order.end() && packed < tasks) {
    const std::size_t index = entry->index;
    planned_machine& machine = machines_[index];
    const std::uint32_t filled = fill(machine, job, tasks - packed);
    if (filled == 0) {
      ++entry;
      continue;
    }
    packed += filled;
    if (!machine.name.empty()) needed_machines_.insert(machine.name);
    entry = order.erase(entry);
    order.insert({machine.free.gpus, machine.free.cpus, index});
  }
  return packed;
}

}  // namespace gingerdrift::admission
