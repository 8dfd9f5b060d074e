// Replays the recorded traces of admission and compares the decisions of whole scheduling cycles.
// After an intended change, review the differences, then run the test with KEEP_TRACES=1 in the
// environment to overwrite the traces.
#include <gtest/gtest.h>

#include <fstream>

#include "support/admission_trace.hpp"
#include "support/trace_files.hpp"

namespace gingerdrift::testing {

class admission_trace : public ::testing::TestWithParam<std::string> {};
INSTANTIATE_TEST_SUITE_P(recorded, admission_trace, ::testing::ValuesIn(trace_names("admission")),
                         [](const auto& trace) { return trace.param; });

TEST_P(admission_trace, replay_makes_the_recorded_decisions) {
  const std::string expected = read_trace("admission", GetParam());
  const std::string actual = play_trace(expected);
  if (std::getenv("KEEP_TRACES") != nullptr)
    std::ofstream(trace_path("admission", GetParam())) << actual;
  EXPECT_EQ(actual, expected);
  EXPECT_NE(actual.find("\n> "), std::string::npos) << "a trace without decisions tests nothing";
}

}  // namespace gingerdrift::testing
