#pragma once

#include <cstdint>
#include <string>

#include "former_version.hpp"

namespace gingerdrift::testing {

/// A scenario generated from a seed, as the arguments of `play_fault_scenario`.
struct random_scenario {
  std::string trace;
  std::size_t controllers = 3;
  std::uint64_t seed = 0;
  /// The version that all controllers run initially; null stands for the current one.
  const former_version::release* former = nullptr;
};

/// Generates a scenario in which many kinds of faults overlap, in the format of the trace files
/// (tests/traces/README.md). The same seed always gives the same scenario.
random_scenario make_random_scenario(std::uint64_t seed);
/// Generates a scenario that also includes an upgrade of all controllers and, for some seeds,
/// announced limits of the state service. Even seeds start with the production version, odd ones
/// with the version before dependencies.
random_scenario make_random_upgrade_scenario(std::uint64_t seed);

}  // namespace gingerdrift::testing
