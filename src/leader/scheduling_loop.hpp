#pragma once

#include <cstdint>
#include <functional>

#include "base/callback_guard.hpp"
#include "base/metrics.hpp"
#include "cloud/machine_inventory.hpp"
#include "leader/decision_applier.hpp"
#include "leader/scheduling_executor.hpp"
#include "leader/snapshot_builder.hpp"
#include "leader/term_context.hpp"
#include "net/timer.hpp"

namespace gingerdrift::leader {

/// Runs scheduling cycles, one at a time: takes a snapshot, has the executor compute the decisions,
/// and applies them.
///
/// A cycle starts shortly after a change. For a large fleet, a cycle may take long if the
/// controller has only a small share of a CPU core, and heartbeats and user requests are delayed
/// meanwhile. The start times of cycles are therefore spaced in proportion to the duration of the
/// last one, which limits the share of time that cycles take.
class scheduling_loop {
 public:
  /// Notifications and queries that the loop sends to the term that owns it.
  struct callbacks {
    /// Reports whether the leader lease is certain to be held. Otherwise no cycle starts and no
    /// decisions are applied.
    std::function<bool()> lease_valid;
    /// Reports whether all records have been read. No cycle starts before.
    std::function<bool()> is_recovered;
    /// Called when a cycle has finished and its decisions have been applied or dropped.
    std::function<void()> cycle_finished;
  };
  scheduling_loop(const term_context& context, scheduling_executor& executor,
                  snapshot_builder& snapshots, decision_applier& decisions,
                  callbacks owner_callbacks);

  /// Requests a cycle because something has changed that affects scheduling.
  void request_cycle();
  /// Returns how many cycles have started in this term.
  std::uint64_t cycles_started() const { return cycles_started_; }
  /// Returns how many cycles have finished in this term, with their decisions applied or dropped.
  std::uint64_t cycles_finished() const { return cycles_finished_; }

 private:
  void run_cycle();
  admission::snapshot take_snapshot();
  void finish_cycle(const admission::decisions& decisions, duration computing_time);

  net::runtime& runtime_;
  scheduling_executor& executor_;
  snapshot_builder& snapshots_;
  decision_applier& decisions_;
  const cloud::machine_inventory& machines_;
  metrics& metrics_;
  const fencing_token token_;
  const duration min_cycle_interval_;  // between the starts of two cycles
  callbacks callbacks_;
  std::uint64_t cycles_started_ = 0;
  std::uint64_t cycles_finished_ = 0;
  bool cycle_running_ = false;
  bool changed_since_snapshot_ = false;
  time_point last_cycle_start_{};
  duration last_cycle_duration_{};  // from the snapshot until the decisions were applied
  net::timer timer_;
  callback_guard guard_;
};

}  // namespace gingerdrift::leader
