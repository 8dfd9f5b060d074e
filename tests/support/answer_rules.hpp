#pragma once

#include <functional>
#include <string>

#include "support/job_history.hpp"
#include "support/sim_users.hpp"

namespace gingerdrift::testing {

/// Checks the job states that controllers return to users. A returned state is never older than a
/// state received before the request was sent, and a job is reported as cancelled only if a user
/// requested its cancellation or that of an ancestor ("went_back"). A job is reported as done only
/// if it is done ("not_done"). No job remains queued or running after a job that it depends on was
/// cancelled ("orphaned").
class answer_rules final : public answer_observer {
 public:
  answer_rules(site_context& context, const sim_fleet& fleet, const sim_users& users,
               job_history& history)
      : context_(context), fleet_(fleet), users_(users), history_(history) {}

  void state_received(const state_answer& answer) override;
  /// Checks, at the end of a scenario, that each cancelled job was either cancelled by its user or
  /// has a cancelled ancestor.
  void check_cancelled_jobs();
  /// Returns the final state of a job according to the state service: `done`, `cancelled`, or an
  /// empty string if none is stored. The comparison with the stored state is skipped while this
  /// function is unset.
  std::function<std::string(const std::string& job)> stored_final_state;

 private:
  void check_against_first_final(const state_answer& answer);
  void check_cancelled_by_user(const std::string& job);
  void check_not_orphaned(const state_answer& answer);
  void count_cancellation(const std::string& job);

  site_context& context_;
  const sim_fleet& fleet_;
  const sim_users& users_;
  job_history& history_;
};

}  // namespace gingerdrift::testing
