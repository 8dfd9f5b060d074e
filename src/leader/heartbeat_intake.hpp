#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/callback_guard.hpp"
#include "cloud/machine_inventory.hpp"
#include "job_store/job_table.hpp"
#include "leader/machine_drain.hpp"
#include "leader/scheduling_loop.hpp"
#include "leader/term_context.hpp"
#include "net/time_sliced_queue.hpp"
#include "workers/reconciler.hpp"

namespace gingerdrift::leader {

/// Receives the workers' heartbeats and decides when each is answered.
///
/// A heartbeat is answered immediately, or after all records have been read, or after the tasks
/// that fill freed capacity have been placed and stored.
class heartbeat_intake {
 public:
  /// Called once with the body of the answer, or with nothing if the worker should try another
  /// controller.
  using answer_fn = std::function<void(std::optional<std::string> commands)>;
  /// Queries that the intake makes to the term that owns it.
  struct callbacks {
    /// Reports whether the leader lease is certain to be held.
    std::function<bool()> lease_valid;
    /// Reports whether all records have been read.
    std::function<bool()> is_recovered;
  };
  /// `max_early_heartbeats`: how many heartbeats may wait until all records have been read.
  heartbeat_intake(const term_context& context, machine_drain& drain, const scheduling_loop& loop,
                   std::size_t max_early_heartbeats, callbacks owner_callbacks);
  /// Redirects all workers that still wait for an answer to another controller.
  ~heartbeat_intake();
  heartbeat_intake(const heartbeat_intake&) = delete;
  heartbeat_intake& operator=(const heartbeat_intake&) = delete;

  /// Handles a worker's heartbeat. `answer` is called before this function returns, or later.
  void receive(workers::worker_heartbeat heartbeat, answer_fn answer);
  /// Handles the heartbeats that arrived before all records were read. To be called once they are.
  void process_early_heartbeats();
  /// Answers the held heartbeats whose wait is over: their deadline has passed, or a later cycle
  /// has finished and its placements are stored.
  void answer_held_heartbeats();
  /// Returns when the last heartbeat arrived, or the start of the term if none has.
  time_point last_heartbeat() const { return last_heartbeat_; }
  /// Reports whether any heartbeat has arrived in this term.
  bool has_received_heartbeat() const { return last_heartbeat_ != term_start_; }

  /// Early heartbeats may occupy the controller's connections divided by this number. The remaining
  /// connections are needed for users and for other calls.
  static constexpr std::size_t early_connection_divisor = 3;

 private:
  /// A heartbeat that arrived before all records were read.
  struct early_heartbeat {
    workers::worker_heartbeat heartbeat;
    answer_fn answer;
    time_point deadline;
  };
  /// A heartbeat that freed capacity. Its answer waits for the cycle that fills this capacity.
  struct held_heartbeat {
    workers::worker_heartbeat heartbeat;
    answer_fn answer;
    time_point deadline;
    /// How many cycles had started when the heartbeat arrived. It waits for a later one to finish.
    std::uint64_t cycles_started_at_receipt = 0;
  };
  void defer_until_recovery(workers::worker_heartbeat heartbeat, answer_fn answer);
  void process_next_early_heartbeat();
  void redirect_expired();
  void reconcile(workers::worker_heartbeat heartbeat, answer_fn answer);
  void hold_answer(workers::worker_heartbeat heartbeat, answer_fn answer);
  bool all_attempts_stored(const machine_name& machine);

  net::runtime& runtime_;
  const job_store::job_table& jobs_;
  workers::reconciler& workers_;
  cloud::machine_inventory& machines_;
  machine_drain& drain_;
  const scheduling_loop& loop_;
  const fencing_token token_;
  const std::size_t max_early_heartbeats_;
  callbacks callbacks_;
  const time_point term_start_;
  time_point last_heartbeat_;
  std::vector<held_heartbeat> held_heartbeats_;
  std::deque<early_heartbeat> early_heartbeats_;
  net::time_sliced_queue early_queue_;
  callback_guard guard_;
};

}  // namespace gingerdrift::leader
