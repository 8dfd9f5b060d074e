#pragma once

#include <cstddef>
#include <cstdint>

#include "base/callback_guard.hpp"
#include "net/transport.hpp"
#include "workers/reconciler_options.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// Indication that the answers to a machine's heartbeats don't reach it.
enum class unreachable_sign : std::uint8_t {
  lease_expired,    // although the worker's heartbeats were answered
  start_not_taken,  // a later heartbeat does not list a task that an answer started
};

/// Tracks machines whose heartbeats arrive but which the leader's commands may not reach. No task
/// is placed on such a machine until it answers a probe: an arriving heartbeat does not prove that
/// the network works in the opposite direction.
class machine_reachability {
 public:
  /// `probes_per_round`: maximum number of machines that one call of probe() contacts.
  machine_reachability(net::runtime& runtime, worker_table& workers, std::size_t probes_per_round,
                       const reconciler_hooks& events)
      : runtime_(runtime),
        workers_(workers),
        probes_per_round_(probes_per_round),
        events_(events) {}

  /// Excludes the machine from placement until it answers a probe. Does nothing if the machine is
  /// marked already.
  void mark_unreachable(worker& target, unreachable_sign sign);
  /// Probes machines that are marked unreachable, the least recently probed first. A machine that
  /// answers may be used again.
  void probe();

 private:
  void send_probe(const worker& target);
  void on_probe_response(const machine_name& machine, worker_incarnation incarnation,
                         const net::response& reply);

  net::runtime& runtime_;
  worker_table& workers_;
  std::size_t probes_per_round_;
  const reconciler_hooks& events_;
  callback_guard guard_;
};

}  // namespace gingerdrift::workers
