#pragma once

#include <stdexcept>
#include <string>

namespace gingerdrift::config {

/// Error in a settings file. The message names the file, the field and the reason; the program
/// exits with status 2 on this error.
class settings_error : public std::runtime_error {
 public:
  settings_error(const std::string& file, const std::string& field, const std::string& reason)
      : std::runtime_error(file + ": " + field + ": " + reason) {}
};

}  // namespace gingerdrift::config
