#pragma once

#include <cstddef>
#include <cstdint>

#include "base/callback_guard.hpp"
#include "net/transport.hpp"
#include "workers/reconciler_options.hpp"
#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

/// A sign that the answers to a machine's heartbeats don't reach it.
enum class unreachable_sign : std::uint8_t {
  lease_expired,    // although its heartbeats were answered
  start_not_taken,  // a later heartbeat does not list what an answer started
};

/// Machines whose heartbeats arrive, while it is in doubt whether commands get there. Nothing is
/// placed on them until they answer a probe: arriving heartbeats prove nothing about the way back.
class machine_reachability {
 public:
  /// `probes_per_round`: how many machines one call of probe() asks, at most.
  machine_reachability(net::runtime& runtime, worker_table& workers, std::size_t probes_per_round,
                       const reconciler_hooks& events)
      : runtime_(runtime),
        workers_(workers),
        probes_per_round_(probes_per_round),
        events_(events) {}

  /// Nothing is placed on the machine from now on; does nothing if it is in doubt already.
  void mark_unreachable(worker& target, unreachable_sign sign);
  /// Probes machines in doubt, in turn; one that answers is used again.
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
