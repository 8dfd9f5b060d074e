#pragma once

#include <toml++/toml.h>

#include <functional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "config/field.hpp"

namespace gingerdrift::config {

/// Reads one table of a TOML file, and keeps the table's path for error messages. An optional table
/// that is absent reads as empty. The functions that read a field throw `settings_error` if it does
/// not have the type and value that they require.
class toml_table {
 public:
  /// Constructs a reader for the root table of a file.
  toml_table(std::string file, const toml::table& root) : toml_table(std::move(file), "", &root) {}

  /// Reports whether the table has a field or table `name`.
  bool has(const std::string& name) const { return find(name) != nullptr; }
  /// Returns a string, which must be present and not empty.
  std::string text(const std::string& name) const;
  /// Returns a string, which must not be empty if it is present, or an empty one if it is absent.
  std::string optional_text(const std::string& name) const;
  /// Returns an IPv4 address with a port, which must be present.
  std::string address(const std::string& name) const;
  /// Returns the strings of an array; none if the array is absent.
  std::vector<std::string> texts(const std::string& name) const;
  /// Returns a number, which must be within `range`, or `fallback` if it is absent.
  double number(const std::string& name, double fallback, const number_range& range) const;
  /// Returns a duration, or `fallback` if it is absent. The file and `range` give it in seconds.
  duration duration_value(const std::string& name, duration fallback,
                          const number_range& range) const;
  /// Returns a table, which must be present.
  toml_table required_table(const std::string& name) const;
  /// Returns a table, which reads as empty if it is absent.
  toml_table optional_table(const std::string& name) const;
  /// Calls `visit` with each table of an array of tables; never if the array is absent.
  void for_each_table(const std::string& name,
                      const std::function<void(const toml_table&)>& visit) const;
  /// Returns the field `name`, for error messages and checks.
  field field_of(const std::string& name) const { return {file_, path_ + name}; }

 private:
  toml_table(std::string file, std::string path, const toml::table* table)
      : file_(std::move(file)), path_(std::move(path)), table_(table) {}
  const toml::node* find(const std::string& name) const;
  const toml::node& find_required(const std::string& name) const;

  std::string file_;
  std::string path_;          // prefix of the fields' paths: empty, or ends with a dot
  const toml::table* table_;  // nullptr if the table is absent
};

}  // namespace gingerdrift::config
