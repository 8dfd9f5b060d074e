#pragma once

#include "job_store/job_table.hpp"
#include "workers/loss_evidence.hpp"
#include "workers/reconciler_options.hpp"
#include "workers/task_stopper.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// What follows when an attempt has ended or is proven gone. Until then it holds its place, its
/// quota and its zone.
class attempt_outcomes {
 public:
  attempt_outcomes(job_store::job_table& jobs, worker_table& workers, task_stopper& stopper,
                   fencing_token token, const reconciler_hooks& events)
      : jobs_(jobs), workers_(workers), stopper_(stopper), token_(token), events_(events) {}

  /// The task is done; the job too, if it was the last one.
  void complete_task(job_store::job& job, std::uint32_t task);
  /// The attempt of the task, if there is one, is proven gone.
  void mark_lost(job_store::job& job, std::uint32_t task, loss_evidence evidence);
  /// All attempts on a machine are proven gone.
  void mark_all_lost(const worker& holder, loss_evidence evidence);
  /// The attempt gives up its place. To be followed by update_job_after_attempt_end().
  void end_attempt(job_store::job& job, std::uint32_t task);
  /// What an attempt's end means for the others of its job. `replaceable`: a member of a gang
  /// that has not started may be replaced while the others stay.
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
