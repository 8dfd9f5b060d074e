#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.hpp"
#include "cloud/machine_inventory.hpp"
#include "config/settings.hpp"
#include "dependencies/tracker.hpp"
#include "job_store/job_state.hpp"
#include "job_store/job_table.hpp"
#include "leader/decision_applier.hpp"
#include "leader/delegate_monitor.hpp"
#include "leader/heartbeat_intake.hpp"
#include "leader/job_loader.hpp"
#include "leader/machine_drain.hpp"
#include "leader/scale_in.hpp"
#include "leader/scheduling_executor.hpp"
#include "leader/scheduling_loop.hpp"
#include "leader/snapshot_builder.hpp"
#include "leader/term_context.hpp"
#include "leader/zone_health.hpp"
#include "net/timer.hpp"
#include "workers/reconciler.hpp"

namespace gingerdrift::leader {

/// One term of leadership: owns the leader's state, which is rebuilt from the store, and connects
/// the components that operate on it. Destroyed when the term ends. Used on the event loop's thread
/// only.
class leader_term : private dependencies::tracker_owner {
 public:
  /// Notifications and queries that a term sends to the controller that owns it.
  struct callbacks {
    /// Called when the store turns out to hold another leader's key. Called from the event loop,
    /// never from within a member function of the term, because it destroys the term.
    std::function<void()> deposed;
    /// Reports whether the leader lease is certain to be held.
    std::function<bool()> lease_valid;
    /// Called when the final record of a job has been stored.
    std::function<void(const job_id&, const job_store::terminal_state&)> finished;
    /// Returns the terminal state of a job if this process has seen it in the store.
    std::function<std::optional<job_store::terminal_state>(const job_id&)> cached_terminal_state;
  };
  /// `leader`: the condition on the leader key that is attached to every write of this term.
  leader_term(const term_environment& environment, fencing_token token,
              const kvstore::condition& leader, std::vector<admission::machine_type> types,
              callbacks owner_callbacks);
  leader_term(const leader_term&) = delete;
  leader_term& operator=(const leader_term&) = delete;

  /// Starts to read the records from the store.
  void start();
  /// Reports whether all records have been read.
  bool ready() const { return loader_.is_recovered(); }
  /// Handles a worker's heartbeat. The answer is empty if the worker should try another controller.
  void handle_heartbeat(workers::worker_heartbeat heartbeat, heartbeat_intake::answer_fn answer) {
    heartbeats_.receive(std::move(heartbeat), std::move(answer));
  }
  /// Returns the state of a job that may be reported to users, or nothing if the job is not in the
  /// job table. Valid only while the leader lease is valid.
  std::optional<job_store::job_state> state_of(const job_id& id);
  /// Cancels a job. `done` receives the job's terminal state, or nothing if the outcome can't be
  /// confirmed yet.
  void cancel(const job_id& id, job_store::job_table::terminal_fn done);
  /// Reads a job that may be new in the store.
  void fetch_job(const job_id& id) { loader_.fetch(id); }
  /// Returns the term's section of the status report.
  nlohmann::json status() const;
  /// Returns when the last heartbeat arrived, or the start of the term if none has.
  time_point last_heartbeat() const { return heartbeats_.last_heartbeat(); }
  /// Reports whether any heartbeat has arrived in this term.
  bool has_received_heartbeats() const { return heartbeats_.has_received_heartbeat(); }
  /// Returns how many machines are expected to send heartbeats; 0 until all records have been read.
  std::size_t known_machine_count() const;

 private:
  // Implementation of dependencies::tracker_owner.
  void load_job(const kvstore::entry& head, time_point read_at) override {
    loader_.add_record(head, read_at);
  }
  std::optional<job_store::terminal_state> cached_terminal_state(const job_id& job) override {
    return callbacks_.cached_terminal_state(job);
  }
  void dependencies_changed() override { loop_.request_cycle(); }

  job_store::job_table::hooks job_table_callbacks();
  workers::reconciler::hooks reconciler_callbacks();
  cloud::machine_inventory::hooks inventory_callbacks();
  job_loader::callbacks loader_callbacks();
  scheduling_loop::callbacks loop_callbacks();
  heartbeat_intake::callbacks heartbeat_callbacks();

  void handle_job_finalized(const job_id& id, const job_store::terminal_state& end);
  double image_cache_gb(const std::string& type_name) const;
  void finish_recovery();
  void resume_job(job_store::job& job);
  void mark_cancelled(job_store::job& job);
  void tick();

  net::runtime& runtime_;
  const config::platform_settings& platform_;
  const fencing_token token_;
  callbacks callbacks_;
  const time_point term_start_;
  // State of the leader.
  job_store::job_table jobs_;
  dependencies::tracker dependencies_;
  workers::reconciler workers_;
  cloud::machine_inventory machines_;
  // Components that operate on the state. Each refers to members declared before it.
  const term_context context_;
  zone_health zones_;
  delegate_monitor delegates_;
  machine_drain drain_;
  decision_applier decisions_;
  scale_in scale_in_;
  snapshot_builder snapshots_;
  job_loader loader_;
  scheduling_loop loop_;
  net::timer tick_timer_;
  /// Declared last so that it is destroyed first: its destructor answers the waiting workers.
  heartbeat_intake heartbeats_;
};

}  // namespace gingerdrift::leader
