#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "support/sim_fleet.hpp"
#include "support/sim_users.hpp"

namespace gingerdrift::testing {

/// Facts about jobs, derived only from the tasks that machines executed and the responses that
/// users received. The checks rely on these facts; the internal state of the service is never used.
class job_history {
 public:
  job_history(const site_context& context, const sim_fleet& fleet, const sim_users& users)
      : context_(context), fleet_(fleet), users_(users) {}

  /// Reports whether all direct dependencies of the job are done.
  bool dependencies_done(const std::string& job) const;
  /// Returns all direct and transitive dependencies of the job.
  std::set<std::string> ancestors(const std::string& job) const;
  /// Reports whether a user requested the cancellation of the job or of one of its ancestors.
  bool cancellation_requested(const std::string& job) const;
  /// Returns the time from which the job has to be treated as cancelled because of an ancestor: the
  /// time at which the first cancellation of an ancestor that a user requested was confirmed, but
  /// not before the job was accepted. Empty if no such cancellation was confirmed or the job is not
  /// accepted.
  std::optional<time_point> cancelled_with_ancestor_since(const std::string& job) const;

  /// Records that a user received the state `cancelled` for a job. Returns whether this is the
  /// first such response.
  bool confirm_cancellation(const std::string& job) {
    return confirmed_cancellations_.emplace(job, context_.net.now()).second;
  }
  /// Returns, by job, when a user first received the state `cancelled`.
  const std::map<std::string, time_point>& confirmed_cancellations() const {
    return confirmed_cancellations_;
  }

 private:
  const site_context& context_;
  const sim_fleet& fleet_;
  const sim_users& users_;
  std::map<std::string, time_point> confirmed_cancellations_;
};

}  // namespace gingerdrift::testing
