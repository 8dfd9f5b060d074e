#pragma once

#include "admission/cycle_job.hpp"

namespace gingerdrift::admission {

/// Tracks which kinds of pools are exhausted, that is, can't scale out, and determines for which of
/// them jobs wait. Has the lifetime of its scheduler.
class pool_contention {
 public:
  /// `exhausted_for` is the time for which a kind of pool counts as exhausted after machines were
  /// last refused in all of its zones.
  explicit pool_contention(duration exhausted_for) : exhausted_for_(exhausted_for) {}

  /// Marks the kinds of pools as exhausted for which the cloud currently refuses machines in all
  /// zones. Since refused requests are repeated from time to time, a kind of pool counts as
  /// exhausted for another `exhausted_for` after the refusal.
  void record_refusals(const snapshot& input);
  /// Returns the exhausted kinds of pools for which jobs with unplaced tasks wait as their best
  /// pool, each with the lowest priority of these jobs. Pools that can scale out are never
  /// contested: there, jobs need not leave capacity to each other.
  contested_pools contested_by(const std::vector<cycle_job>& jobs, time_point now) const;

 private:
  bool is_exhausted(const pool_kind& kind, time_point now) const;

  const duration exhausted_for_;
  std::map<pool_kind, time_point> exhausted_until_;
};

}  // namespace gingerdrift::admission
