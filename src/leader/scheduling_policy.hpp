#pragma once

#include "admission/types.hpp"
#include "config/settings.hpp"

namespace gingerdrift::leader {

/// Returns the scheduler's policy that results from the operators' settings.
admission::policy scheduling_policy(const config::operator_settings& operator_settings);

}  // namespace gingerdrift::leader
