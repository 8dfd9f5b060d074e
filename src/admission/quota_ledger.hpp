#pragma once

#include "admission/types.hpp"

namespace gingerdrift::admission {

/// Tracks the quota usage of each team within one scheduling cycle, as two amounts. The *occupied*
/// amount counts all tasks that are not proven to have ended. The *projected* amount is the usage
/// after all decisions have taken effect. Limits apply to both amounts. Guarantees apply to the
/// projected amount, except in `exceeds_guarantee`. Refers to the teams, which have to outlive the
/// ledger.
class quota_ledger {
 public:
  explicit quota_ledger(const std::vector<team_view>& teams)
      : teams_(teams), occupied_(teams.size()), projected_(teams.size()) {}

  /// Counts the tasks that a job has at the start of the cycle. `not_stopping` is the number of
  /// those that were not told to stop.
  void add_placed(const job_view& job, std::size_t not_stopping);
  /// Counts a task that is started in this cycle.
  void add_started_task(const job_view& job);
  /// Counts a task for which scale-out planned a machine, for the rest of the cycle.
  void add_planned_task(const job_view& job) { occupied_[job.team] += job.need; }
  /// Counts tasks for which other tasks were preempted, and which start once the victims have
  /// ended.
  void add_tasks_awaiting_preemption(const job_view& job, double tasks) {
    projected_[job.team] += job.need.times(tasks);
  }

  /// Reports whether the team stays within its limit with `tasks` more tasks of the job, both in
  /// occupied and in projected usage. The projected usage matters when a gang preempts tasks of its
  /// own team and waits for all of them to end: if other jobs of the team could use the quota that
  /// is freed meanwhile, the gang would have to preempt them again and would never start.
  bool limit_allows(const job_view& job, double tasks) const {
    return limit_allows(job, tasks, occupied_[job.team]) &&
           limit_allows(job, tasks, projected_[job.team]);
  }
  /// Reports whether the team stays within its limit with `tasks` more tasks, given its `usage`.
  bool limit_allows(const job_view& job, double tasks, resources usage) const;
  /// Reports whether the projected usage of the team stays within its guarantee with `tasks` more
  /// tasks. False if the team has no guarantee.
  bool within_guarantee(const job_view& job, double tasks) const;
  /// Reports whether the team occupies more than its guarantee. False if it has no guarantee.
  bool exceeds_guarantee(std::size_t team) const;
  /// Reports whether all of `amount` is beyond the guarantee of the team, given its `usage`.
  bool is_borrowed(std::size_t team, const resources& amount, const resources& usage) const;

  /// Returns the projected usage of each team. A preemption is planned on a copy, which replaces
  /// the original when the preemption is decided.
  const std::vector<resources>& projected() const { return projected_; }
  void set_projected(std::vector<resources> usage) { projected_ = std::move(usage); }
  void set_projected(std::size_t team, const resources& usage) { projected_[team] = usage; }

 private:
  const std::vector<team_view>& teams_;
  /// Occupied usage, by team index.
  std::vector<resources> occupied_;
  /// Projected usage, by team index.
  std::vector<resources> projected_;
};

}  // namespace gingerdrift::admission
