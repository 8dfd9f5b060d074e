// Plays the kept traces of the race. After a wanted change, read the difference, then keep the new
// trace: set KEEP_TRACES=1 in the environment.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "support/admission_trace.hpp"

namespace gingerdrift::testing {

namespace {
std::filesystem::path trace_dir() {
  return std::filesystem::path(GINGERDRIFT_SOURCE_DIR) / "tests" / "traces" / "admission";
}
std::vector<std::string> trace_names() {
  std::vector<std::string> out;
  for (const auto& one : std::filesystem::directory_iterator(trace_dir()))
    if (one.path().extension() == ".trace") out.push_back(one.path().stem().string());
  std::sort(out.begin(), out.end());
  return out;
}
}  // namespace

class admission_trace : public ::testing::TestWithParam<std::string> {};
INSTANTIATE_TEST_SUITE_P(kept, admission_trace, ::testing::ValuesIn(trace_names()),
                         [](const auto& one) { return one.param; });

TEST_P(admission_trace, decides_as_kept) {
  const auto path = trace_dir() / (GetParam() + ".trace");
  std::ifstream file(path);
  std::stringstream kept;
  kept << file.rdbuf();
  const std::string now = play_trace(kept.str());
  if (std::getenv("KEEP_TRACES") != nullptr) std::ofstream(path) << now;
  EXPECT_EQ(now, kept.str());
  EXPECT_NE(now.find("\n> "), std::string::npos) << "a trace without decisions shows nothing";
}

}  // namespace gingerdrift::testing
