#pragma once

#include "admission/cycle_state.hpp"
#include "admission/placement_search.hpp"

namespace gingerdrift::admission {

/// Reserves machines for gangs that have waited for a long time. On a busy fleet, a gang that needs
/// many machines of one zone at the same time would never find them, because smaller jobs take each
/// machine as soon as it becomes free. Once a gang has waited for `gang_reservation_delay`, free
/// machines that it can use are reserved, in one zone, until there are enough. Since reserved
/// machines are idle, only a small share of a pool may be reserved. The first gang in queue order
/// that has waited for three times the delay is exempt from this limit: without the exemption, 40 %
/// of the largest gangs waited for more than four minutes on a full fleet.
class gang_reservation {
 public:
  gang_reservation(cycle_state& cycle, placement_search& placement)
      : cycle_(cycle), placement_(placement) {}
  /// Reserves machines for all gangs that have waited long enough, in queue order.
  void run();

 private:
  bool is_eligible(const cycle_job& job) const;
  bool is_reserved(std::size_t machine) const {
    return cycle_.capacity.machine(machine).is_reserved();
  }
  std::vector<std::size_t> best_machines(const cycle_job& job);
  void reserve(const cycle_job& job, const std::vector<std::size_t>& machines, bool unlimited);

  cycle_state& cycle_;
  placement_search& placement_;
  /// Number of reserved machines in each pool, for all jobs together.
  std::map<pool, std::size_t> reserved_by_pool_;
};

}  // namespace gingerdrift::admission
