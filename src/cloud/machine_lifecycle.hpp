#pragma once

#include <cstdint>

namespace gingerdrift::cloud {

/// Evidence that a machine has definitely terminated, so that no task runs on it any more.
enum class termination_evidence : std::uint8_t {
  released,  // the cloud has confirmed that the machine was returned
  listed_as_failed,
  no_longer_listed,
};
/// Returns the value that stands for the evidence in log records.
const char* text_of(termination_evidence evidence);

/// Reason for returning a machine to the cloud.
enum class release_reason : std::uint8_t {
  failed,            // is listed as failed by the cloud
  never_came_up,     // did not boot, or its worker did not send a first heartbeat, in time
  never_heard_from,  // has stored attempts, but has sent no heartbeat in this leadership term
  silent,            // has stopped sending heartbeats
  unreachable,       // sends heartbeats, but does not receive messages
  quarantined,       // tasks of several jobs fail on the machine
  idle,
};
/// Returns the value that stands for the reason in log records.
const char* text_of(release_reason reason);

}  // namespace gingerdrift::cloud
