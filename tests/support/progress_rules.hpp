#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "support/job_history.hpp"
#include "support/sim_fleet.hpp"
#include "support/sim_users.hpp"

namespace gingerdrift::testing {

/// Checks that the service makes progress: polls of a job do not remain unanswered for long
/// ("forgotten"), no job waits for long although there is capacity for it ("waits beside
/// capacity"), and no team or kind of job starves ("served").
class progress_rules {
 public:
  progress_rules(site_context& context, const sim_fleet& fleet, const sim_users& users,
                 const job_history& history)
      : context_(context), fleet_(fleet), users_(users), history_(history) {}

  /// Starts the checks once all injected faults have ended. From this call on, it is a violation if
  /// a job waits beside free capacity or its polls remain unanswered for too long.
  void expect_progress();
  /// Checks, at the end of a scenario, that at least half of the jobs of each team and of each kind
  /// (gangs, arrays) have started, and that at least half of the largest jobs of each kind started
  /// in time.
  void check_served();

 private:
  /// The tasks of a job that are placed or done, and their zone.
  struct placement {
    std::set<std::uint32_t> tasks;  // indexes of tasks that are on machines or done
    std::string zone;  // zone of the last machine found with a task of the job; empty if none
  };
  /// The number of jobs in a group, such as a team, and how many of them have started.
  struct group {
    std::size_t jobs = 0;
    std::size_t started = 0;
  };

  void check_waiting();
  void check_waiting_job(const std::string& job, const user_record& record);
  bool could_start(const std::string& job) const;
  placement placement_of(const std::string& job) const;
  bool quota_allows(const sim_job& job, std::size_t tasks) const;
  bool has_capacity(const sim_job& job, const std::string& zone, std::size_t tasks) const;
  static bool may_use(const sim_job& job, const std::string& zone, const sim_machine& machine);
  static double free_gpus(const sim_machine& machine);
  bool started_in_time(const std::string& job) const;

  site_context& context_;
  const sim_fleet& fleet_;
  const sim_users& users_;
  const job_history& history_;
  std::optional<time_point> expected_since_;
  std::map<std::string, time_point> could_start_since_;  // by waiting job
};

}  // namespace gingerdrift::testing
