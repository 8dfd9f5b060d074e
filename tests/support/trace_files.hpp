#pragma once

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace gingerdrift::testing {

/// Returns the path of a trace file: tests/traces/KIND/NAME.trace.
inline std::filesystem::path trace_path(const std::string& kind, const std::string& name) {
  return std::filesystem::path(GINGERDRIFT_SOURCE_DIR) / "tests" / "traces" / kind /
         (name + ".trace");
}

/// Returns the names of all trace files of a kind, in alphabetical order.
inline std::vector<std::string> trace_names(const std::string& kind) {
  std::vector<std::string> names;
  const auto directory = trace_path(kind, "any").parent_path();
  for (const auto& file : std::filesystem::directory_iterator(directory)) {
    if (file.path().extension() == ".trace") names.push_back(file.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

/// Returns the contents of a trace file.
inline std::string read_trace(const std::string& kind, const std::string& name) {
  std::ifstream file(trace_path(kind, name));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace gingerdrift::testing
