#pragma once

#include "job_store/job_table.hpp"
#include "net/transport.hpp"
#include "workers/reconciler_options.hpp"
#include "workers/task_stopper.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// Tells a bad machine from a failing job: a machine that fails several jobs is quarantined; a job
/// that fails on several machines is held back, longer each time.
class failure_tracker {
 public:
  /// What the tracker reads and changes. It owns none of them.
  struct services {
    net::runtime& runtime;
    job_store::job_table& jobs;
    worker_table& workers;
    task_stopper& stopper;
    const reconciler_hooks& events;
  };
  failure_tracker(const services& used, const reconciler_options& settings)
      : runtime_(used.runtime),
        jobs_(used.jobs),
        workers_(used.workers),
        stopper_(used.stopper),
        events_(used.events),
        options_(settings) {}

  /// A task of the job ended with an error on that machine.
  void note_error(worker& machine, job_store::job& job);
  /// A task of some job is done there: the machine works.
  static void note_success(worker& machine) { machine.failed_jobs.clear(); }
  /// A task ended for reasons that its worker doesn't know.
  void note_unknown_exit(job_store::job& job);
  /// Jobs try machines on which they failed again after a while: they may be all that fits.
  void forget_old_failures();

 private:
  void clear_failed_job(worker& machine, const job_id& job);
  void quarantine(worker& machine);

  net::runtime& runtime_;
  job_store::job_table& jobs_;
  worker_table& workers_;
  task_stopper& stopper_;
  const reconciler_hooks& events_;
  const reconciler_options& options_;
};

}  // namespace gingerdrift::workers
