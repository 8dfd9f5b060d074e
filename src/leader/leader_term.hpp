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

/// One term of leadership: the leader's state, rebuilt from the store, and the parts that work on
/// it, wired together. Gone when the term ends. Lives on the socket thread.
class leader_term : private dependencies::tracker_owner {
 public:
  /// What a term asks of the controller that runs it, and tells it.
  struct callbacks {
    /// The store holds another leader's key; called from the runtime, never from within a call.
    std::function<void()> deposed;
    /// Whether the leader's lease is surely held.
    std::function<bool()> lease_valid;
    /// A job's final record is stored.
    std::function<void(const job_id&, const job_store::terminal_state&)> finished;
    /// A final state that this process has seen in the store.
    std::function<std::optional<job_store::terminal_state>(const job_id&)> cached_terminal_state;
  };
  /// `leader`: the condition on the leader key that goes with every write of this term.
  leader_term(const term_environment& environment, fencing_token token,
              const kvstore::condition& leader, std::vector<admission::machine_type> types,
              callbacks owner);
  leader_term(const leader_term&) = delete;
  leader_term& operator=(const leader_term&) = delete;

  /// Begins to read the records.
  void start();
  /// Whether all records have been read.
  bool ready() const { return loader_.recovered(); }
  /// Takes a worker's heartbeat. Answers with nothing where the worker is to try another
  /// controller.
  void handle_heartbeat(workers::worker_heartbeat heartbeat, heartbeat_intake::answer_fn answer) {
    heartbeats_.receive(std::move(heartbeat), std::move(answer));
  }
  /// What users may be told of a job in the table; only while the leader's lease is valid.
  std::optional<job_store::job_state> state_of(const job_id& id);
  /// Cancels a job. Calls back with how it ended, or with nothing when that can't be said yet.
  void cancel(const job_id& id, job_store::job_table::terminal_fn done);
  /// A job may be new in the store: reads it.
  void fetch_job(const job_id& id) { loader_.fetch(id); }
  /// The term's part of the status report.
  nlohmann::json status() const;
  /// When workers were last heard; the start of the term if never.
  time_point last_heartbeat() const { return heartbeats_.last_heartbeat(); }
  /// Whether any worker was heard in this term.
  bool received_heartbeats() const { return heartbeats_.any_heartbeat(); }
  /// How many machines should send heartbeats; 0 until all records have been read.
  std::size_t machines() const;

 private:
  // What the dependency tracker asks and tells.
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

  void job_finished(const job_id& id, const job_store::terminal_state& end);
  double image_cache_gb(const std::string& type_name) const;
  void recovered();
  void adopt(job_store::job& job);
  void mark_cancelled(job_store::job& job);
  void tick();

  net::runtime& runtime_;
  const config::platform_settings& platform_;
  const fencing_token token_;
  callbacks callbacks_;
  const time_point term_start_;
  // The leader's state:
  job_store::job_table jobs_;
  dependencies::tracker dependencies_;
  workers::reconciler workers_;
  cloud::machine_inventory machines_;
  // What works on it. Later parts use earlier ones.
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
  heartbeat_intake heartbeats_;  // the first to go: it answers the workers that still wait
};

}  // namespace gingerdrift::leader
