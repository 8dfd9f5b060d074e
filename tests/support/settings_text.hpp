#pragma once

#include <string>

#include "config/platform_settings.hpp"
#include "support/site_context.hpp"

namespace gingerdrift::testing {

/// Returns the platform settings of a simulated deployment, without names and addresses.
config::platform_settings platform_settings_of(const site_parameters& parameters);

/// Returns the settings of a controller in the format of the platform's settings file.
std::string settings_text(const config::platform_settings& own);

}  // namespace gingerdrift::testing
