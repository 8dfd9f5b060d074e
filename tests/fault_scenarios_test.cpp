// Runs the fault scenarios recorded in tests/traces. In each one several faults coincide, or can
// coincide. Every scenario runs with three and with five controllers, with fixed seeds.
#include <gtest/gtest.h>

#include <ostream>

#include "support/fault_scenario.hpp"
#include "support/trace_files.hpp"

namespace gingerdrift::testing {

namespace {

/// A recorded trace and the release that all controllers start with.
struct trace_scenario {
  std::string kind;
  std::string name;
  const former_version::release* former = nullptr;  // null: the present version
};

std::string scenario_name(const trace_scenario& scenario) {
  return scenario.former == nullptr ? scenario.name
                                    : scenario.name + "_from_" + scenario.former->name();
}

void PrintTo(const trace_scenario& scenario, std::ostream* out) { *out << scenario_name(scenario); }

std::vector<trace_scenario> scenarios_of(const std::string& kind) {
  std::vector<trace_scenario> scenarios;
  for (const auto& name : trace_names(kind)) scenarios.push_back({kind, name});
  return scenarios;
}

std::vector<trace_scenario> upgrade_scenarios_from_all_releases() {
  std::vector<trace_scenario> scenarios;
  for (const auto& name : trace_names("upgrade")) {
    for (const auto* release : former_version::all_releases())
      scenarios.push_back({"upgrade", name, release});
  }
  return scenarios;
}

class trace_scenario_test : public ::testing::TestWithParam<trace_scenario> {
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

std::string parameter_name(const ::testing::TestParamInfo<trace_scenario>& info) {
  return scenario_name(info.param);
}

}  // namespace

class fault_scenarios : public trace_scenario_test {};
INSTANTIATE_TEST_SUITE_P(traces, fault_scenarios,
                         ::testing::ValuesIn(scenarios_of("fault_scenarios")), parameter_name);
TEST_P(fault_scenarios, violate_no_rule) { expect_no_violation(); }

class pipeline_scenarios : public trace_scenario_test {};
INSTANTIATE_TEST_SUITE_P(traces, pipeline_scenarios, ::testing::ValuesIn(scenarios_of("pipelines")),
                         parameter_name);
TEST_P(pipeline_scenarios, violate_no_rule) { expect_no_violation(); }

class upgrade_scenarios : public trace_scenario_test {};
INSTANTIATE_TEST_SUITE_P(traces, upgrade_scenarios,
                         ::testing::ValuesIn(upgrade_scenarios_from_all_releases()),
                         parameter_name);
TEST_P(upgrade_scenarios, violate_no_rule) { expect_no_violation(); }

}  // namespace gingerdrift::testing
