#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace gingerdrift::job_store {

/// Times at which jobs were removed from the leader's job table, used to detect outdated reads of
/// their head records.
///
/// The result of a read may be as old as the request. A read that is in flight while its job ends
/// may therefore still return the head, and inserting it would bring the ended job back into the
/// table. The number of remembered jobs is limited: every read that was requested no later than the
/// newest dropped completion counts as outdated.
class recent_completions {
 public:
  /// `capacity`: maximum number of remembered jobs.
  explicit recent_completions(std::size_t capacity) : capacity_(capacity) {}

  void add(const job_id& job, time_point now) {
    times_[job] = now;
    order_.push_back({now, job});
    if (order_.size() > capacity_) drop_oldest();
  }

  /// Reports whether a head record of this job that was requested at `read_at` may be older than
  /// the end of the job.
  bool may_have_ended_since(const job_id& job, time_point read_at) const {
    if (read_at <= horizon_) return true;
    const auto ended = times_.find(job);
    return ended != times_.end() && read_at <= ended->second;
  }

 private:
  /// Removal of a job from the table.
  struct completion {
    time_point time;
    job_id job;
  };

  void drop_oldest() {
    const completion oldest = std::move(order_.front());
    order_.pop_front();
    horizon_ = oldest.time;
    // The job may have been inserted and have ended a second time since; its newer entry is kept.
    const auto ended = times_.find(oldest.job);
    if (ended != times_.end() && ended->second == oldest.time) times_.erase(ended);
  }

  std::size_t capacity_;
  /// Time of the newest dropped completion.
  time_point horizon_ = time_point::min();
  std::deque<completion> order_;
  std::unordered_map<job_id, time_point> times_;
};

}  // namespace gingerdrift::job_store
