#pragma once

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace gingerdrift::testing {

/// The file of a kept trace: tests/traces/KIND/NAME.trace.
inline std::filesystem::path trace_path(const std::string& kind, const std::string& name) {
  return std::filesystem::path(GINGERDRIFT_SOURCE_DIR) / "tests" / "traces" / kind /
         (name + ".trace");
}

/// The names of the kept traces of a kind, in order.
inline std::vector<std::string> trace_names(const std::string& kind) {
  std::vector<std::string> names;
  const auto directory = trace_path(kind, "any").parent_path();
  for (const auto& file : std::filesystem::directory_iterator(directory)) {
    if (file.path().extension() == ".trace") names.push_back(file.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

/// The text of a kept trace.
inline std::string read_trace(const std::string& kind, const std::string& name) {
  std::ifstream file(trace_path(kind, name));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace gingerdrift::testing
