#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "soak/loopback_site.hpp"

namespace gingerdrift::testing {

/// Kinds of faults and of users' requests at bad moments. "Leader" is the controller that the
/// leader key names at that moment.
enum class fault_kind : std::uint8_t {
  crash_leader,
  crash_controller,
  crash_all,
  pause_leader,
  cut_leader_from_state,   // packets are lost
  hold_leader_to_state,    // packets arrive after the cut
  refuse_leader_by_state,  // only the leader gets 503
  cut_leader_from_peers,
  state_outage,
  slow_state,
  lose_state_answers,
  delay_transactions,
  late_heartbeats,
  hang_machines,
  mute_machines,
  cancel_running_jobs,
};

/// A fault, when it begins and for how long it lasts.
struct scheduled_fault {
  fault_kind kind;
  duration begins{};
  duration lasts{};
  std::size_t controller = 0;  // only crash_controller
};

/// Returns faults that begin within `span`, some of them at the same time, in the order of their
/// beginnings. The same seed always gives the same schedule.
std::vector<scheduled_fault> make_fault_schedule(std::uint64_t seed, std::size_t controllers,
                                                 duration span);
/// Returns a line for people that describes the fault.
std::string text_of(const scheduled_fault& fault);
/// Injects a fault now.
void inject(loopback_site& target, const scheduled_fault& fault);

}  // namespace gingerdrift::testing
