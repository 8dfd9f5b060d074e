#include "admission/cycle_job.hpp"

namespace gingerdrift::admission {

bool cycle_job::allows_zone(const zone_name& zone) const {
  if (!view->zone.empty() && view->zone != zone) return false;
  if (view->one_zone) {
    for (const auto& [other_zone, tasks] : tasks_per_zone) {
      if (tasks > 0 && other_zone != zone) return false;
    }
  }
  if (view->spread) {
    const auto entry = tasks_per_zone.find(zone);
    const std::uint32_t tasks = entry == tasks_per_zone.end() ? 0 : entry->second;
    const std::uint32_t largest_share = (view->total_tasks + 1) / 2;
    if (tasks + 1 > largest_share) return false;
  }
  return true;
}

bool precedes(const job_view& left, const job_view& right) {
  if (left.level != right.level) return left.level > right.level;
  if (left.created_ms != right.created_ms) return left.created_ms < right.created_ms;
  return left.id < right.id;
}

}  // namespace gingerdrift::admission
