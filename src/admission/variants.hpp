#pragma once

#include <unordered_map>

#include "admission/types.hpp"

namespace gingerdrift::admission {

/// An option of a job to be admitted to one of the pools that it may use.
struct variant {
  pool target;
  /// Position among the variants of a job, the best first.
  std::uint32_t rank = 0;
  /// Group of equally good pools, which differ only in their zone; 0 is the best. There are no
  /// upgrades within a tier.
  std::uint32_t tier = 0;
  /// The variant currently takes part in scheduling.
  bool active = false;
};

/// Admission state of a job: its variants, the best first, and the times that control them.
struct job_admission {
  std::vector<variant> variants;
  /// Start of the delays of variant creation, scale-out and gang reservation: the creation of the
  /// job, or its last preemption.
  time_point delay_start;
  /// Start of the deletion delay: the time when the job was admitted; empty until a task is
  /// placed.
  std::optional<time_point> admitted_at;
  /// Rank of the variant that is preempting other jobs. At most one variant of a job preempts at a
  /// time.
  std::optional<std::uint32_t> preempting_rank;
  /// Time after which another variant may preempt.
  time_point preempting_until{};
};

/// The kinds of pools that can't scale out and for which jobs wait as their best pool, each with
/// the lowest priority of these jobs.
using contested_pools = std::map<pool_kind, priority>;

/// Creates variants of jobs and updates in each cycle which of them are active. Doesn't check
/// capacity. Has the lifetime of its scheduler.
class variant_table {
 public:
  explicit variant_table(const policy& rules) : rules_(rules) {}

  /// Updates the variants of a job to the time of the snapshot and the placed tasks of the job. The
  /// result stays valid until retain_only() removes the job.
  job_admission& refresh(const job_view& job, const snapshot& input);
  /// Restarts the delays of a job after it was preempted.
  void reset(const job_id& job, time_point now);
  /// Removes the state of all jobs that are not in `jobs`, which invalidates references to it.
  void retain_only(const std::set<job_id>& jobs);
  /// Sets the contested pools that the last cycle found. Lower variants for these pools are created
  /// later.
  void set_contested(contested_pools pools) { contested_ = std::move(pools); }

 private:
  std::vector<variant> create(const job_view& job, const snapshot& input) const;
  void update_timers(job_admission& state, const job_view& job, time_point now) const;
  bool may_upgrade(const job_admission& state, const job_view& job, time_point now) const;
  duration creation_delay(const variant& candidate, const job_view& job) const;

  const policy rules_;
  contested_pools contested_;
  std::unordered_map<job_id, job_admission> jobs_;
};

}  // namespace gingerdrift::admission
