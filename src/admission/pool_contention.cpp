#include "admission/pool_contention.hpp"

namespace gingerdrift::admission {

namespace {
bool refused_in_all_zones(const machine_type& type, bool spot, const std::set<pool>& refused) {
  const auto is_refused = [&](const zone_name& zone) {
    return refused.count({type.name, zone, spot}) != 0;
  };
  return !type.zones.empty() && std::all_of(type.zones.begin(), type.zones.end(), is_refused);
}
}  // namespace

void pool_contention::record_refusals(const snapshot& input) {
  for (const auto& type : input.types) {
    for (const bool spot : {false, true}) {
      if (refused_in_all_zones(type, spot, input.refused_pools))
        exhausted_until_[{type.name, spot}] = input.now + exhausted_for_;
    }
  }
}

bool pool_contention::is_exhausted(const pool_kind& kind, time_point now) const {
  const auto entry = exhausted_until_.find(kind);
  return entry != exhausted_until_.end() && now < entry->second;
}

contested_pools pool_contention::contested_by(const std::vector<cycle_job>& jobs,
                                              time_point now) const {
  contested_pools contested;
  for (const auto& job : jobs) {
    if (job.unplaced.empty()) continue;
    for (const auto& variant : job.admission->variants) {
      if (variant.tier != 0) continue;
      const pool_kind kind{variant.target.type, variant.target.spot};
      if (!is_exhausted(kind, now)) continue;
      const auto entry = contested.try_emplace(kind, job.view->level).first;
      entry->second = std::min(entry->second, job.view->level);
    }
  }
  return contested;
}

}  // namespace gingerdrift::admission
