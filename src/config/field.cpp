#include "config/field.hpp"

#include <cmath>
#include <sstream>

#include "config/settings_error.hpp"

namespace gingerdrift::config {

void field::fail(const std::string& reason) const { throw settings_error(file_, path_, reason); }

double field::check_number(std::optional<double> number, const number_range& range) const {
  if (!number || !std::isfinite(*number)) fail("must be a number");
  if (*number < range.min || *number > range.max) {
    std::ostringstream reason;
    reason << "must be between " << range.min << " and " << range.max;
    fail(reason.str());
  }
  return *number;
}

}  // namespace gingerdrift::config
