// Plays the kept traces of the race. After a wanted change, read the difference, then keep the new
// trace: set KEEP_TRACES=1 in the environment.
#include <gtest/gtest.h>

#include <fstream>

#include "support/admission_trace.hpp"
#include "support/kept_traces.hpp"

namespace gingerdrift::testing {

class admission_trace : public ::testing::TestWithParam<std::string> {};
INSTANTIATE_TEST_SUITE_P(kept, admission_trace, ::testing::ValuesIn(kept_traces("admission")),
                         [](const auto& one) { return one.param; });

TEST_P(admission_trace, decides_as_kept) {
  const std::string kept = read_trace("admission", GetParam());
  const std::string now = play_trace(kept);
  if (std::getenv("KEEP_TRACES") != nullptr)
    std::ofstream(trace_path("admission", GetParam())) << now;
  EXPECT_EQ(now, kept);
  EXPECT_NE(now.find("\n> "), std::string::npos) << "a trace without decisions shows nothing";
}

}  // namespace gingerdrift::testing
