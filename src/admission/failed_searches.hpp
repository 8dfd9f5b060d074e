#pragma once

#include "admission/cycle_job.hpp"

namespace gingerdrift::admission {

/// Inputs that determine the result of a search, unless other properties of the job restrict it
/// further (see `placement_search::is_unrestricted`). Amounts are per task. The fields from `level`
/// on apply only to searches for victims.
struct search_key {
  pool target;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  priority level = priority::low;
  std::size_t team = 0;
  bool guaranteed = false;
  auto operator<=>(const search_key&) const = default;
};

/// Returns the key of a search for capacity in a pool.
inline search_key capacity_search_key(const cycle_job& job, const pool& target) {
  const auto& need = job.view->need;
  return {target, need.cpus, need.gpus, need.memory_gb, priority::low, 0, false};
}

/// Remembers the searches of one scheduling cycle that found nothing. Since capacity only shrinks
/// within a cycle, the same search, also for more tasks, would fail again. This keeps long queues
/// of similar jobs cheap.
class failed_searches {
 public:
  /// Reports whether the search is known to fail for that many tasks.
  bool includes(const search_key& search, std::uint32_t tasks) const {
    const auto entry = fewest_tasks_.find(search);
    return entry != fewest_tasks_.end() && tasks >= entry->second;
  }
  /// Records that the search failed for that many tasks.
  void add(const search_key& search, std::uint32_t tasks) { fewest_tasks_[search] = tasks; }

 private:
  /// Smallest number of tasks for which each search failed.
  std::map<search_key, std::uint32_t> fewest_tasks_;
};

}  // namespace gingerdrift::admission
