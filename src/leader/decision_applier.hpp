#pragma once

#include <set>
#include <span>
#include <vector>

#include "base/metrics.hpp"
#include "cloud/machine_inventory.hpp"
#include "job_store/job_table.hpp"
#include "workers/reconciler.hpp"

namespace gingerdrift::leader {

/// Applies the decisions of a scheduling cycle: task starts, task stops and scale-out requests.
///
/// Jobs and machines may have changed since the snapshot on which the decisions are based, so each
/// start is validated against the current state. No attempt number is used twice, except that the
/// members of a gang share one.
class decision_applier {
 public:
  decision_applier(job_store::job_table& jobs, workers::reconciler& workers,
                   cloud::machine_inventory& machines, metrics& metrics, fencing_token token);

  /// Applies the decisions of one cycle. The caller must hold a valid leader lease.
  void apply(const admission::decisions& decisions);
  /// Reports whether some waiting job needs this machine, according to the last cycle.
  bool is_awaited(const machine_name& machine) const {
    return awaited_machines_.count(machine) != 0;
  }

 private:
  void start_tasks(const std::vector<admission::start_decision>& starts);
  void start_tasks_of_job(std::span<const admission::start_decision> starts);
  bool may_start(const job_store::job& job, const admission::start_decision& start);
  void place(job_store::job& job, const admission::start_decision& start);
  void stop_tasks(const admission::stop_decision& stop);

  job_store::job_table& jobs_;
  workers::reconciler& workers_;
  cloud::machine_inventory& machines_;
  metrics& metrics_;
  const fencing_token token_;
  std::set<machine_name> awaited_machines_;
};

}  // namespace gingerdrift::leader
