#pragma once

#include <string>

#include "support/job_history.hpp"
#include "support/sim_fleet.hpp"

namespace gingerdrift::testing {

/// Checks the tasks that machines execute: no task runs on two machines at once ("ran_twice"), on a
/// machine that violates its placement constraints ("wrong_place"), before its dependencies are
/// done ("too_early"), above the GPU limit of its team ("quota"), or too long after its
/// cancellation ("ran_cancelled").
class machine_rules final : public machine_observer {
 public:
  machine_rules(site_context& context, const sim_fleet& fleet, const sim_users& users,
                const job_history& history)
      : context_(context), fleet_(fleet), users_(users), history_(history) {}

  void run_command_accepted(const std::string& job) override;
  void task_started(const sim_machine& machine, const task_key& task) override;
  void machine_stepped() override;

 private:
  void check_place(const sim_machine& machine, const task_key& task);
  void check_quotas();
  double gpus_used_by(const std::string& team) const;
  void log_tasks_of(const std::string& team) const;
  /// Reports whether any task of the job has a process on some machine.
  bool has_process(const std::string& job) const;
  void check_cancelled_jobs();
  void check_jobs_of_cancelled_ancestors();

  site_context& context_;
  const sim_fleet& fleet_;
  const sim_users& users_;
  const job_history& history_;
};

}  // namespace gingerdrift::testing
