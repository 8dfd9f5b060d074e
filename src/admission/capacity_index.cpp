#include "admission/capacity_index.hpp"

namespace gingerdrift::admission {

capacity_index::capacity_index(const snapshot& input) {
  std::map<pool, std::size_t> group_by_pool;
  std::map<std::string, resources> size_by_type;
  for (const auto& type : input.types) size_by_type[type.name] = type.size;
  machines_.reserve(input.machines.size());
  index_by_name_.reserve(input.machines.size());
  for (const auto& view : input.machines) {
    const std::size_t machine = machines_.size();
    const auto [group, is_new] = group_by_pool.try_emplace(view->pool, groups_.size());
    if (is_new) groups_.push_back({view->pool, {}, {}});
    machines_.push_back(
        {view.get(), view->free, size_by_type[view->pool.type], {}, group->second, nullptr});
    index_by_name_[view->name.str()] = machine;
    if (!view->ready) continue;
    groups_[group->second].machines.push_back(machine);
    groups_[group->second].by_free_capacity.insert(free_capacity(machine));
    for (const auto& image : view->images) machines_by_image_[image].push_back(machine);
  }
}

std::size_t capacity_index::find(const machine_name& name) const {
  const auto entry = index_by_name_.find(name.str());
  return entry == index_by_name_.end() ? no_machine : entry->second;
}

const std::vector<std::size_t>& capacity_index::groups_of(const pool& target) {
  const auto [entry, is_new] = groups_by_target_.try_emplace(target);
  if (is_new) {
    for (std::size_t i = 0; i < groups_.size(); ++i) {
      if (target.covers(groups_[i].pool)) entry->second.push_back(i);
    }
  }
  return entry->second;
}

const std::vector<std::size_t>& capacity_index::machines_with_image(
    const std::string& image) const {
  static const std::vector<std::size_t> no_machines;
  const auto entry = machines_by_image_.find(image);
  return entry == machines_by_image_.end() ? no_machines : entry->second;
}

void capacity_index::change_free(std::size_t machine, const resources& change) {
  auto& slot = machines_[machine];
  auto& order = groups_[slot.group].by_free_capacity;
  const bool listed = is_listed(slot);
  if (listed) order.erase(free_capacity(machine));
  slot.free += change;
  if (listed) order.insert(free_capacity(machine));
}

void capacity_index::reserve(std::size_t machine, const job_id& job) {
  auto& slot = machines_[machine];
  if (is_listed(slot)) groups_[slot.group].by_free_capacity.erase(free_capacity(machine));
  slot.reserved_for = &job;
}

}  // namespace gingerdrift::admission
