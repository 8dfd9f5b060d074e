#pragma once

#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace gingerdrift::testing {

/// Splits a text at each separator. Returns no parts for an empty text.
inline std::vector<std::string> split(const std::string& text, char separator = ',') {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, separator);) parts.push_back(part);
  return parts;
}

/// A line of a trace file: bare words and `name=value` pairs.
struct trace_line {
  std::map<std::string, std::string> values;
  std::set<std::string> flags;     // all bare words
  std::vector<std::string> words;  // all bare words in order

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
  /// Returns the value of a pair as a number, or the fallback if the line has no such pair. Throws
  /// std::invalid_argument if the value is not a number.
  double number(const std::string& name, double fallback) const {
    const auto value = values.find(name);
    return value == values.end() ? fallback : std::stod(value->second);
  }
  /// Returns the value of a pair as text, or the fallback if the line has no such pair.
  std::string text(const std::string& name, const std::string& fallback = "") const {
    const auto value = values.find(name);
    return value == values.end() ? fallback : value->second;
  }
  /// Reports whether the line contains this bare word.
  bool has(const std::string& flag) const { return flags.count(flag) != 0; }
};

}  // namespace gingerdrift::testing
