#pragma once

#include <map>
#include <string>
#include <vector>

#include "job_store/job_table.hpp"
#include "workers/attempt_outcomes.hpp"
#include "workers/codec.hpp"
#include "workers/exit_handler.hpp"
#include "workers/failure_tracker.hpp"
#include "workers/heartbeat_reconciliation.hpp"
#include "workers/lease_expiry.hpp"
#include "workers/loss_evidence.hpp"
#include "workers/machine_reachability.hpp"
#include "workers/reconciler_options.hpp"
#include "workers/task_stopper.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// The leader's interface to the workers: takes heartbeats, reconciles them with the stored
/// attempts and answers with commands. Owns the objects that do this, and decides which heartbeats
/// are acted upon. Lives for one term.
class reconciler {
 public:
  using hooks = reconciler_hooks;
  /// `token` is that of the current term, which starts now. The runtime and the job table have to
  /// outlive the reconciler.
  reconciler(net::runtime& runtime, job_store::job_table& jobs, reconciler_options settings,
             fencing_token token, hooks events);
  ~reconciler() = default;
  reconciler(const reconciler&) = delete;
  reconciler& operator=(const reconciler&) = delete;

  /// Takes over the attempts of a job that an earlier leader stored.
  void adopt(job_store::job& job);
  /// Enables reconciliation. Until then heartbeats are answered without commands, and nothing is
  /// concluded from the tasks that they list.
  void start_reconciling() { reconciling_ = true; }

  /// Processes a heartbeat and returns the body of the answer.
  std::string handle(const worker_heartbeat& heartbeat);
  /// Returns the body of the answer to a heartbeat that was passed to handle() before and whose
  /// answer was delayed for the next scheduling cycle. It includes commands decided since then.
  std::string answer_deferred(const worker_heartbeat& heartbeat);
  /// Places a new attempt on a machine, which is started once the attempt is stored. Throws
  /// std::out_of_range if the machine is unknown.
  void place(job_store::job& job, std::uint32_t task, const machine_name& machine,
             attempt_number number);
  /// Stops the tasks of a job. `grace` is the time that each task has to save its state.
  void stop(job_store::job& job, const std::vector<std::uint32_t>& tasks, duration grace) {
    stopper_.stop(job, tasks, grace);
  }
  /// Stops all attempts of the job.
  void stop_all(job_store::job& job, duration grace) { stopper_.stop_all(job, grace); }
  /// Removes a machine that is proven gone and marks all attempts on it as lost.
  void machine_lost(const machine_name& machine, loss_evidence evidence);
  /// Marks the attempts of workers as lost whose leases have certainly expired. A read of the store
  /// sent at `confirmed_at` has to have shown that no lease delegate has been active since
  /// `delegates_inactive_since`.
  void expire_leases(time_point delegates_inactive_since, time_point confirmed_at) {
    lease_expiry_.check(delegates_inactive_since, confirmed_at);
  }

  /// Lets jobs retry machines on which they failed some time ago, because these may be the
  /// only machines that fit them.
  void forget_old_failures() { failures_.forget_old_failures(); }
  /// Probes machines that may be unreachable. A machine that answers may be used again.
  void probe() { reachability_.probe(); }

  /// Returns the worker of a machine, or null if the machine is unknown.
  worker* find(const machine_name& machine) { return workers_.find(machine); }
  /// Returns the workers of all machines that a heartbeat or a stored attempt named.
  std::map<machine_name, worker>& all() { return workers_.all(); }
  const std::map<machine_name, worker>& all() const { return workers_.all(); }
  /// Reports whether tasks may be placed on the worker's machine.
  bool accepts_tasks(const worker& candidate) const { return workers_.accepts_tasks(candidate); }
  /// Reports whether the worker has missed several heartbeats, or has sent none in this term.
  bool heartbeat_overdue(const worker& candidate) const {
    return workers_.heartbeat_overdue(candidate);
  }

 private:
  void note_contact(worker& sender, const worker_heartbeat& heartbeat);
  void accept(worker& sender, const worker_heartbeat& heartbeat);
  void begin_incarnation(worker& sender, worker_incarnation incarnation);
  std::vector<command> reconcile(worker& sender, const worker_heartbeat& heartbeat);

  net::runtime& runtime_;
  job_store::job_table& jobs_;
  reconciler_options options_;
  fencing_token token_;
  hooks events_;
  bool reconciling_ = false;
  worker_table workers_;
  task_stopper stopper_;
  attempt_outcomes outcomes_;
  failure_tracker failures_;
  exit_handler exits_;
  lease_expiry lease_expiry_;
  machine_reachability reachability_;
};

}  // namespace gingerdrift::workers
