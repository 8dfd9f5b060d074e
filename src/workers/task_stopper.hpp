#pragma once

#include <map>
#include <vector>

#include "job_store/job.hpp"
#include "net/transport.hpp"
#include "workers/reconciler_options.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// Stops attempts by an immediate direct call to the worker. In addition, the stop command is
/// repeated in the answer to each heartbeat that still lists the attempt (see
/// heartbeat_reconciliation).
class task_stopper {
 public:
  task_stopper(net::runtime& runtime, worker_table& workers, fencing_token token,
               const reconciler_hooks& events)
      : runtime_(runtime), workers_(workers), token_(token), events_(events) {}

  /// Stops tasks of a job. `grace` is the time that each task has to save its state. Tasks without
  /// an attempt are skipped.
  void stop(job_store::job& job, const std::vector<std::uint32_t>& tasks, duration grace);
  /// Stops all attempts of the job.
  void stop_all(job_store::job& job, duration grace);
  /// Stops tasks with the time to save their state that the job asks for. A gang is stopped as a
  /// whole, whichever of its tasks are given.
  void stop_gracefully(job_store::job& job, const std::vector<std::uint32_t>& tasks);

 private:
  void send(const std::map<machine_name, std::vector<command>>& stops_by_machine);

  net::runtime& runtime_;
  worker_table& workers_;
  fencing_token token_;
  const reconciler_hooks& events_;
};

}  // namespace gingerdrift::workers
