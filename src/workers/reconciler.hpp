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

/// The leader's side of the workers: takes heartbeats, reconciles them with the stored attempts,
/// and answers with commands. It puts its parts together and decides which heartbeats count.
class reconciler {
 public:
  using hooks = reconciler_hooks;
  /// `token`: of the present term, which begins now. The job table outlives the reconciler.
  reconciler(net::runtime& runtime, job_store::job_table& jobs, reconciler_options settings,
             fencing_token token, hooks events);
  ~reconciler() = default;
  reconciler(const reconciler&) = delete;
  reconciler& operator=(const reconciler&) = delete;

  /// Indexes a job's stored attempts after a failover.
  void adopt(job_store::job& job);
  /// From here on, heartbeats are acted upon; before, they are only answered.
  void start_reconciling() { reconciling_ = true; }

  /// Returns the answer to the heartbeat.
  std::string handle(const worker_heartbeat& heartbeat);
  /// The answer to a heartbeat that was held back for a moment: with what was decided since.
  std::string answer_deferred(const worker_heartbeat& heartbeat);
  /// Places a new attempt on a known machine; throws std::out_of_range on any other. It is started
  /// once it is stored.
  void place(job_store::job& job, std::uint32_t task, const machine_name& machine,
             attempt_number number);
  /// Tells tasks to stop, with that much time to save.
  void stop(job_store::job& job, const std::vector<std::uint32_t>& tasks, duration grace) {
    stopper_.stop(job, tasks, grace);
  }
  /// Tells all attempts of the job to stop.
  void stop_all(job_store::job& job, duration grace) { stopper_.stop_all(job, grace); }
  /// The machine is gone for sure, and everything on it.
  void machine_lost(const machine_name& machine, loss_evidence evidence);
  /// Looks for workers whose leases are surely over: when the store confirmed, with a reading sent
  /// at `confirmed_at`, that no lease delegate has acted since `delegates_inactive_since`.
  void expire_leases(time_point delegates_inactive_since, time_point confirmed_at) {
    lease_expiry_.check(delegates_inactive_since, confirmed_at);
  }

  /// Machines on which a job failed are tried again after a while: they may be all that fits it.
  void forget_old_failures() { failures_.forget_old_failures(); }
  /// Probes machines that may be unreachable; one that answers is used again.
  void probe() { reachability_.probe(); }

  /// Null where the machine is unknown.
  worker* find(const machine_name& machine) { return workers_.find(machine); }
  /// Every machine that a heartbeat or a stored attempt names.
  std::map<machine_name, worker>& all() { return workers_.all(); }
  const std::map<machine_name, worker>& all() const { return workers_.all(); }
  /// Its heartbeats come, it takes tasks and is well.
  bool accepts_tasks(const worker& candidate) const { return workers_.accepts_tasks(candidate); }
  /// Its heartbeats are overdue.
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
