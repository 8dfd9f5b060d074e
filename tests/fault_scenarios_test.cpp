// Coinciding faults: each kept trace is a scenario in which some met, or could. Played on three and
// on five controllers, with fixed seeds.
#include <gtest/gtest.h>

#include <ostream>

#include "support/fault_scenario.hpp"
#include "support/trace_files.hpp"

namespace gingerdrift::testing {

namespace {

/// A kept trace, and the former version that all controllers begin with; null: the present one.
struct kept_scenario {
  std::string kind;
  std::string name;
  const former_version::release* former = nullptr;
};

std::string full_name(const kept_scenario& scenario) {
  return scenario.former == nullptr ? scenario.name
                                    : scenario.name + "_from_" + scenario.former->name();
}

void PrintTo(const kept_scenario& scenario, std::ostream* out) { *out << full_name(scenario); }

std::vector<kept_scenario> scenarios_of(const std::string& kind) {
  std::vector<kept_scenario> scenarios;
  for (const auto& name : trace_names(kind)) scenarios.push_back({kind, name});
  return scenarios;
}

std::vector<kept_scenario> upgrade_scenarios_from_all_releases() {
  std::vector<kept_scenario> scenarios;
  for (const auto& name : trace_names("upgrade")) {
    for (const auto* release : former_version::all_releases())
      scenarios.push_back({"upgrade", name, release});
  }
  return scenarios;
}

class kept_scenario_test : public ::testing::TestWithParam<kept_scenario> {
 protected:
  static void expect_no_violation() {
    const auto& scenario = GetParam();
    const std::string trace = read_trace(scenario.kind, scenario.name);
    for (const std::size_t nodes : {3, 5}) {
      for (const std::uint64_t seed : {1, 2, 3}) {
        EXPECT_EQ(play_fault_scenario(trace, nodes, seed, scenario.former), "")
            << nodes << " controllers, seed " << seed;
      }
    }
  }
};

std::string parameter_name(const ::testing::TestParamInfo<kept_scenario>& info) {
  return full_name(info.param);
}

}  // namespace

class fault_scenarios : public kept_scenario_test {};
INSTANTIATE_TEST_SUITE_P(traces, fault_scenarios,
                         ::testing::ValuesIn(scenarios_of("fault_scenarios")), parameter_name);
TEST_P(fault_scenarios, violate_no_rule) { expect_no_violation(); }

class pipeline_scenarios : public kept_scenario_test {};
INSTANTIATE_TEST_SUITE_P(traces, pipeline_scenarios, ::testing::ValuesIn(scenarios_of("pipelines")),
                         parameter_name);
TEST_P(pipeline_scenarios, violate_no_rule) { expect_no_violation(); }

class upgrade_scenarios : public kept_scenario_test {};
INSTANTIATE_TEST_SUITE_P(traces, upgrade_scenarios,
                         ::testing::ValuesIn(upgrade_scenarios_from_all_releases()),
                         parameter_name);
TEST_P(upgrade_scenarios, violate_no_rule) { expect_no_violation(); }

}  // namespace gingerdrift::testing
