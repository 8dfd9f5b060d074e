#pragma once

#include <cstdint>

namespace gingerdrift::workers {

/// Proof that an attempt of a task is gone and can't run any more. An attempt that has not exited
/// is replaced only with such a proof, because two attempts of a task must never run at the same
/// time.
enum class loss_evidence : std::uint8_t {
  newer_incarnation,      // the worker's lease expired, as its new incarnation shows
  left_the_heartbeat,     // the worker listed the attempt earlier and no longer does
  absent_after_failover,  // placed by an earlier leader, and the worker does not list it
  never_started,          // to be stopped before the worker ever listed it
  start_not_taken,        // the worker never received the answer with the start command
  machine_leaving,        // not sent, and the machine takes no new tasks
  lease_expired,          // the worker's lease has certainly expired
  machine_released,       // the controller returned the machine to the cloud
  machine_failed,         // the cloud reports the machine as failed
  machine_delisted,       // the cloud no longer lists the machine
};

/// Returns the name of the evidence for log lines.
const char* text_of(loss_evidence evidence);

}  // namespace gingerdrift::workers
