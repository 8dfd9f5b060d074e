#pragma once

#include "job_store/job_table.hpp"
#include "workers/loss_evidence.hpp"
#include "workers/reconciler_options.hpp"
#include "workers/task_stopper.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// Applies the consequences of an attempt that has ended or is proven gone: releases its machine
/// and updates its job. Until then the attempt keeps its machine, its quota and its zone occupied.
class attempt_outcomes {
 public:
  attempt_outcomes(job_store::job_table& jobs, worker_table& workers, task_stopper& stopper,
                   fencing_token token, const reconciler_hooks& events)
      : jobs_(jobs), workers_(workers), stopper_(stopper), token_(token), events_(events) {}

  /// Marks the task as done, and the job as well if no other task is left.
  void complete_task(job_store::job& job, std::uint32_t task);
  /// Ends the current attempt of the task, which is proven gone. Does nothing if there is none.
  void mark_lost(job_store::job& job, std::uint32_t task, loss_evidence evidence);
  /// Ends all attempts on a machine, which are proven gone.
  void mark_all_lost(const worker& holder, loss_evidence evidence);
  /// Removes the attempt from its machine and its job. The caller has to call
  /// update_job_after_attempt_end() afterwards.
  void end_attempt(job_store::job& job, std::uint32_t task);
  /// Updates a job one of whose attempts has ended: finalizes it, or stops the remaining members of
  /// a gang. `replaceable`: if the gang has not started, the missing member may be replaced while
  /// the other members stay.
  void update_job_after_attempt_end(job_store::job& job, bool replaceable);

 private:
  void release_placement(job_store::job& job, std::uint32_t task);

  job_store::job_table& jobs_;
  worker_table& workers_;
  task_stopper& stopper_;
  fencing_token token_;
  const reconciler_hooks& events_;
};

}  // namespace gingerdrift::workers
