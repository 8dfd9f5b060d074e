// Runs random scenarios in which several faults coincide, and checks all rules. The default run
// plays a few fixed seeds. GINGERDRIFT_RANDOM_SCENARIOS=FIRST:COUNT plays other seeds, to search
// for failures that no recorded trace covers.
#include <gtest/gtest.h>

#include <cstdlib>
#include <sstream>

#include "support/fault_scenario.hpp"
#include "support/random_scenario.hpp"

namespace gingerdrift::testing {

namespace {

/// The seeds of the scenarios to play. The default range includes seed 89: before a guard against
/// stale answers was added, that scenario returned an older state to a user.
struct seed_range {
  std::uint64_t first = 85;
  std::uint64_t count = 10;
  std::uint64_t end() const { return first + count; }
};

seed_range seeds_to_play() {
  seed_range seeds;
  const char* const setting = std::getenv("GINGERDRIFT_RANDOM_SCENARIOS");
  if (setting == nullptr) return seeds;
  std::istringstream in(setting);
  char colon = 0;
  if (!(in >> seeds.first >> colon >> seeds.count) || colon != ':' || seeds.count == 0)
    ADD_FAILURE() << "GINGERDRIFT_RANDOM_SCENARIOS is not FIRST:COUNT: " << setting;
  return seeds;
}

}  // namespace

TEST(random_scenarios, violate_no_rule) {
  const seed_range seeds = seeds_to_play();
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) {
    const auto scenario = make_random_scenario(seed);
    EXPECT_EQ(play_fault_scenario(scenario.trace, scenario.controllers, seed), "")
        << scenario.controllers << " controllers, seed " << seed << ":\n"
        << scenario.trace;
  }
}

TEST(random_scenarios, violate_no_rule_during_upgrades) {
  const seed_range seeds = seeds_to_play();
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) {
    const auto scenario = make_random_upgrade_scenario(seed);
    EXPECT_EQ(play_fault_scenario(scenario.trace, scenario.controllers, seed, scenario.former), "")
        << scenario.controllers << " controllers, seed " << seed << " from "
        << scenario.former->name() << ":\n"
        << scenario.trace;
  }
}

}  // namespace gingerdrift::testing
