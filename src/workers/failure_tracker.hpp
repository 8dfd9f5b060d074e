#pragma once

#include "job_store/job_table.hpp"
#include "net/transport.hpp"
#include "workers/reconciler_options.hpp"
#include "workers/task_stopper.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// Distinguishes broken machines from failing jobs. A machine on which several jobs fail is
/// quarantined. A job that fails on several machines is delayed, with a back-off that grows each
/// time.
class failure_tracker {
 public:
  /// Objects that the tracker reads and changes, but does not own.
  struct services {
    net::runtime& runtime;
    job_store::job_table& jobs;
    worker_table& workers;
    task_stopper& stopper;
    const reconciler_hooks& events;
  };
  failure_tracker(const services& context, const reconciler_options& settings)
      : runtime_(context.runtime),
        jobs_(context.jobs),
        workers_(context.workers),
        stopper_(context.stopper),
        events_(context.events),
        options_(settings) {}

  /// Records that a task of the job ended with an error on that machine.
  void note_error(worker& machine, job_store::job& job);
  /// Records that a task succeeded on that machine, which shows that the machine works.
  static void note_success(worker& machine) { machine.failed_jobs.clear(); }
  /// Records that a task of the job ended for an unknown reason.
  void note_unknown_exit(job_store::job& job);
  /// Lets jobs retry machines on which they failed some time ago, because these may be the
  /// only machines that fit them.
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
