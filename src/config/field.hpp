#pragma once

#include <optional>
#include <string>
#include <utility>

namespace gingerdrift::config {

/// A closed interval of permitted numbers.
struct number_range {
  double min = 0;
  double max = 0;
};

/// Identifies a field of a settings file in error messages, and checks its value.
class field {
 public:
  field(std::string file, std::string path) : file_(std::move(file)), path_(std::move(path)) {}

  /// Throws a `settings_error` that names this field.
  [[noreturn]] void fail(const std::string& reason) const;
  /// Returns the number. Throws a `settings_error` if it is absent, not finite or out of `range`.
  double check_number(std::optional<double> number, const number_range& range) const;

 private:
  std::string file_;
  std::string path_;
};

}  // namespace gingerdrift::config
