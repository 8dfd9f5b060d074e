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

/// What reconciling a heartbeat reads and changes. It owns none of them.
struct reconciliation_services {
  net::runtime& runtime;
  job_store::job_table& jobs;
  attempt_outcomes& outcomes;
  exit_handler& exits;
  machine_reachability& reachability;
  const reconciler_hooks& events;
  fencing_token token;  // of the present term
};

/// Compares the tasks that one heartbeat lists with the attempts that the leader holds for its
/// worker, and chooses the commands that go into the answer. To be used once.
class heartbeat_reconciliation {
 public:
  /// `heartbeat`: the newest of that worker.
  heartbeat_reconciliation(const reconciliation_services& services, worker& sender,
                           const worker_heartbeat& heartbeat)
      : services_(services), sender_(sender), heartbeat_(heartbeat) {}

  std::vector<command> run();

 private:
  /// What an attempt is whose worker does not list it.
  enum class missing_attempt : std::uint8_t {
    no_action,  // nothing can be said yet, or nothing is to be done
    left_the_heartbeat,
    absent_after_failover,
    never_started,
    start_not_taken,
    startable,
    machine_leaving,
  };
  void reconcile_listed(const task_status& status);
  void apply_status(const task_status& status);
  void apply_phase(job_store::job& job, const task_status& status);
  void acknowledge_exit(const task_status& status);
  void stop_if_unwanted(const task_status& status);
  void reconcile_missing(const task_id& id);
  missing_attempt classify_missing(const job_store::job& job, std::uint32_t task,
                                   const job_store::attempt& attempt) const;
  void start(job_store::job& job, std::uint32_t task);
  void mark_lost_if_proven(job_store::job& job, std::uint32_t task, loss_evidence evidence);
  bool carries_current_token() const { return heartbeat_.token == services_.token; }

  const reconciliation_services& services_;
  worker& sender_;
  const worker_heartbeat& heartbeat_;
  std::set<task_id> listed_;  // our attempts that the heartbeat lists
  std::map<attempt_id, std::uint64_t>
      unacknowledged_exits_;  // exits dealt with that it still lists
  std::vector<command> commands_;
};

}  // namespace gingerdrift::workers
