#pragma once

#include <functional>
#include <string>

#include "former_version.hpp"
#include "support/sim_net.hpp"

namespace gingerdrift::testing {

/// Runs a fault scenario (tests/traces/README.md) against the whole service. Returns a description
/// of all problems, empty if there are none: jobs that were not finished at the end, rule
/// violations, and event counts outside the range that the scenario expects. `former` is the
/// version that all controllers run initially; null stands for the current one. `on_sent` observes
/// every message. Throws std::invalid_argument if the scenario contains an unknown line.
std::string play_fault_scenario(const std::string& trace, std::size_t controllers,
                                std::uint64_t seed, const former_version::release* former = nullptr,
                                const std::function<void(const sent_message&)>& on_sent = {});

}  // namespace gingerdrift::testing
