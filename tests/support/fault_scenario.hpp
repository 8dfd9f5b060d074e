#pragma once

#include <functional>
#include <string>

#include "former_version.hpp"
#include "support/sim_net.hpp"

namespace gingerdrift::testing {

/// Plays a scenario of faults (tests/traces/README.md) against the whole service. Returns what was
/// wrong, empty if nothing: jobs that were not over in time, rule violations, or events that the
/// scenario expects and that did not happen. `former`: the version that all controllers begin with;
/// null: the present one. `on_sent` observes every message. Throws std::invalid_argument for an
/// unknown line.
std::string play_fault_scenario(const std::string& trace, std::size_t controllers,
                                std::uint64_t seed, const former_version::release* former = nullptr,
                                const std::function<void(const sent_message&)>& on_sent = {});

}  // namespace gingerdrift::testing
