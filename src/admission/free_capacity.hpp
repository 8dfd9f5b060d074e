#pragma once

#include <cstddef>
#include <set>

#include "admission/types.hpp"

namespace gingerdrift::admission {

/// Orders machines by free GPUs, then by free CPUs, then by index, so that the fullest machine (the
/// one with the least free capacity) comes first.
struct free_capacity_key {
  double gpus = 0;
  double cpus = 0;
  std::size_t index = 0;
  auto operator<=>(const free_capacity_key&) const = default;
};
using free_capacity_order = std::set<free_capacity_key>;

/// Returns the fullest machine that has enough free GPUs for a task with the request `need`. The
/// caller still has to check the CPUs and memory of this machine and of those that follow.
inline free_capacity_order::const_iterator first_candidate(const free_capacity_order& order,
                                                           const resources& need) {
  // In CPUs. Lower than the free CPUs of any machine: these are negative if the tasks of a machine
  // request more than its size.
  constexpr double below_any_free_cpus = -1e9;
  return order.lower_bound({need.gpus - amount_tolerance, below_any_free_cpus, 0});
}

}  // namespace gingerdrift::admission
