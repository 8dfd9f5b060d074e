#pragma once

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace gingerdrift::testing {

inline std::filesystem::path trace_path(const std::string& kind, const std::string& name) {
  return std::filesystem::path(GINGERDRIFT_SOURCE_DIR) / "tests" / "traces" / kind /
         (name + ".trace");
}

/// The names of the kept traces of a kind, in order.
inline std::vector<std::string> kept_traces(const std::string& kind) {
  std::vector<std::string> out;
  for (const auto& one :
       std::filesystem::directory_iterator(trace_path(kind, "any").parent_path())) {
    if (one.path().extension() == ".trace") out.push_back(one.path().stem().string());
  }
  std::sort(out.begin(), out.end());
  return out;
}

inline std::string read_trace(const std::string& kind, const std::string& name) {
  std::ifstream file(trace_path(kind, name));
  std::stringstream kept;
  kept << file.rdbuf();
  return kept.str();
}

}  // namespace gingerdrift::testing
