#pragma once

#include <cstdint>
#include <vector>

#include "job_store/job_table.hpp"
#include "workers/reconciler.hpp"

namespace gingerdrift::leader {

/// Stops these tasks, or all tasks of the job if it is a gang, with a grace period that is long
/// enough for the job to save its work.
void stop_with_time_to_save(workers::reconciler& workers, job_store::job& job,
                            const std::vector<std::uint32_t>& tasks);

/// Evicts tasks from machines for which the cloud sent a termination notice. Tasks that can't
/// finish in time are stopped with time to save their work, and can then be placed on other
/// machines.
class machine_drain {
 public:
  machine_drain(net::runtime& runtime, job_store::job_table& jobs, workers::reconciler& workers);

  /// Drains every machine that has a termination notice.
  void drain_machines_with_notice();
  /// Drains a machine that has a termination notice. May be called repeatedly for a machine.
  void drain(workers::worker& worker);

 private:
  bool will_finish_in_time(const job_store::job& job, const job_store::attempt& attempt,
                           duration time_left) const;

  net::runtime& runtime_;
  job_store::job_table& jobs_;
  workers::reconciler& workers_;
};

}  // namespace gingerdrift::leader
