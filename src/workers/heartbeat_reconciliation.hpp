#pragma once

#include <map>
#include <set>
#include <vector>

#include "job_store/job_table.hpp"
#include "net/transport.hpp"
#include "workers/attempt_outcomes.hpp"
#include "workers/codec.hpp"
#include "workers/exit_handler.hpp"
#include "workers/machine_reachability.hpp"
#include "workers/reconciler_options.hpp"

namespace gingerdrift::workers {

/// Objects that the reconciliation of a heartbeat reads and changes, but does not own.
struct reconciliation_services {
  net::runtime& runtime;
  job_store::job_table& jobs;
  attempt_outcomes& outcomes;
  exit_handler& exits;
  machine_reachability& reachability;
  const reconciler_hooks& events;
  fencing_token token;  // of the current term
};

/// Compares the tasks listed in one heartbeat with the attempts that the leader has placed on its
/// worker, and chooses the commands for the answer. Each object serves a single heartbeat.
class heartbeat_reconciliation {
 public:
  /// `heartbeat` has to be the newest accepted heartbeat of `sender`.
  heartbeat_reconciliation(const reconciliation_services& services, worker& sender,
                           const worker_heartbeat& heartbeat)
      : services_(services), sender_(sender), heartbeat_(heartbeat) {}

  /// Updates jobs and worker, and returns the commands for the answer. To be called once.
  std::vector<command> run();

 private:
  /// State of an attempt that is missing from the heartbeat of its worker. Where a loss_evidence
  /// has the same name, it describes the case.
  enum class missing_attempt : std::uint8_t {
    no_action,  // nothing is proven yet, or nothing has to be done
    left_the_heartbeat,
    absent_after_failover,
    never_started,
    start_not_taken,
    startable,  // the start may be sent in this answer
    machine_leaving,
  };
  void reconcile_listed(const task_status& status);
  void apply_status(const task_status& status);
  void apply_phase(job_store::job& job, const task_status& status);
  void acknowledge_exit(const task_status& status);
  void stop_if_needed(const task_status& status);
  void reconcile_missing(const task_id& id);
  missing_attempt classify_missing(const job_store::job& job, std::uint32_t task,
                                   const job_store::attempt& attempt) const;
  void start(job_store::job& job, std::uint32_t task);
  void mark_lost_if_proven(job_store::job& job, std::uint32_t task, loss_evidence evidence);
  bool carries_current_token() const { return heartbeat_.token == services_.token; }

  const reconciliation_services& services_;
  worker& sender_;
  const worker_heartbeat& heartbeat_;
  /// Tasks whose current attempts the heartbeat lists.
  std::set<task_id> listed_;
  /// Handled exits that the heartbeat still lists; see worker::handled_exits.
  std::map<attempt_id, std::uint64_t> unacknowledged_exits_;
  std::vector<command> commands_;
};

}  // namespace gingerdrift::workers
