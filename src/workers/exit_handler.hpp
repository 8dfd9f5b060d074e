#pragma once

#include "workers/attempt_outcomes.hpp"
#include "workers/codec.hpp"
#include "workers/failure_tracker.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// Handles exits of attempts. A worker lists an exit in its heartbeats until it is acknowledged.
class exit_handler {
 public:
  exit_handler(attempt_outcomes& outcomes, failure_tracker& failures, fencing_token token)
      : outcomes_(outcomes), failures_(failures), token_(token) {}

  /// Handles the exit of the current attempt of a task on that worker.
  void handle(worker& sender, job_store::job& job, std::uint32_t task, exit_cause cause);
  /// Reports whether the consequences of a listed exit are stored, so that the exit may be
  /// acknowledged and its worker stops listing it. `job` is null if it is not in the job table.
  static bool may_acknowledge(const worker& sender, const job_store::job* job,
                              const task_status& status);

 private:
  /// Records in the worker's entry that the exit may be acknowledged once the latest change of the
  /// job's record unit is stored.
  static void await_storage(worker& sender, const job_store::job& job, const attempt_id& attempt);

  attempt_outcomes& outcomes_;
  failure_tracker& failures_;
  fencing_token token_;
};

}  // namespace gingerdrift::workers
