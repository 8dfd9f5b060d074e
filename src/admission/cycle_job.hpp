#pragma once

#include "admission/variants.hpp"

namespace gingerdrift::admission {

/// State of a job within one scheduling cycle.
struct cycle_job {
  const job_view* view = nullptr;
  job_admission* admission = nullptr;
  /// Tasks that still have to be placed.
  std::vector<std::uint32_t> unplaced;
  /// Number of tasks in each zone, including those placed in this cycle.
  std::map<zone_name, std::uint32_t> tasks_per_zone;
  /// The job waits until the tasks preempted for it have ended; its lower variants are not tried in
  /// this cycle.
  bool awaits_preemption = false;

  /// Returns the smallest number of tasks that can be placed together: all unplaced tasks of a
  /// gang, one task of an array.
  std::uint32_t tasks_at_once() const {
    return view->gang ? static_cast<std::uint32_t>(unplaced.size()) : 1;
  }
  /// Reports whether one more task may be placed in the zone. A job may be bound to a given zone or
  /// to any single zone, or spread so that no zone has more than half of its tasks.
  bool allows_zone(const zone_name& zone) const;
};

/// Reports whether `left` comes before `right` in a queue: higher priorities first, then older
/// jobs.
bool precedes(const job_view& left, const job_view& right);

}  // namespace gingerdrift::admission
