#include "cloud/machine_table.hpp"

namespace gingerdrift::cloud {

namespace {
/// How long names of removed machines are kept. Duplicates of a heartbeat may arrive long after the
/// machine was returned.
constexpr auto removed_retention = std::chrono::hours(1);
}  // namespace

machine_table::insertion machine_table::find_or_add(const machine_name& name,
                                                    time_point rental_start) {
  const auto [position, is_new] = machines_.try_emplace(name);
  machine& entry = position->second;
  if (is_new) {
    entry.name = name;
    entry.rental_start = rental_start;
  }
  return {entry, is_new};
}

machine* machine_table::find(const machine_name& name) {
  const auto position = machines_.find(name);
  return position == machines_.end() ? nullptr : &position->second;
}

const machine* machine_table::find(const machine_name& name) const {
  const auto position = machines_.find(name);
  return position == machines_.end() ? nullptr : &position->second;
}

void machine_table::remove(const machine_name& name, time_point now) {
  machines_.erase(name);
  removed_[name] = now;
}

void machine_table::expire_removed(time_point now) {
  std::erase_if(removed_,
                [now](const auto& entry) { return now - entry.second > removed_retention; });
}

}  // namespace gingerdrift::cloud
