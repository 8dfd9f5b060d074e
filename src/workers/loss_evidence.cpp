#include "workers/loss_evidence.hpp"

namespace gingerdrift::workers {

const char* text_of(loss_evidence evidence) {
  switch (evidence) {
    case loss_evidence::newer_incarnation:
      return "newer_incarnation";
    case loss_evidence::left_the_heartbeat:
      return "left_the_heartbeat";
    case loss_evidence::absent_after_failover:
      return "absent_after_failover";
    case loss_evidence::never_started:
      return "never_started";
    case loss_evidence::start_not_taken:
      return "start_not_taken";
    case loss_evidence::machine_leaving:
      return "machine_leaving";
    case loss_evidence::lease_expired:
      return "lease_expired";
    case loss_evidence::machine_released:
      return "machine_released";
    case loss_evidence::machine_failed:
      return "machine_failed";
    case loss_evidence::machine_delisted:
      break;
  }
  return "machine_delisted";
}

}  // namespace gingerdrift::workers
