#pragma once

#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace gingerdrift::testing {

inline std::vector<std::string> split(const std::string& text, char at = ',') {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, at);) out.push_back(item);
  return out;
}

/// A line of a kept trace: bare words, and `name=value` pairs.
struct trace_line {
  std::map<std::string, std::string> values;
  std::set<std::string> flags;
  std::vector<std::string> words;

  explicit trace_line(const std::string& line) {
    std::istringstream in(line);
    for (std::string word; in >> word;) {
      const auto equals = word.find('=');
      if (equals != std::string::npos) {
        values[word.substr(0, equals)] = word.substr(equals + 1);
      } else {
        words.push_back(word);
        flags.insert(word);
      }
    }
  }
  double number(const std::string& name, double fallback) const {
    const auto found = values.find(name);
    return found == values.end() ? fallback : std::stod(found->second);
  }
  std::string text(const std::string& name, const std::string& fallback = "") const {
    const auto found = values.find(name);
    return found == values.end() ? fallback : found->second;
  }
};

}  // namespace gingerdrift::testing
