#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "admission/types.hpp"
#include "config/settings.hpp"
#include "job_store/job.hpp"

namespace gingerdrift::api {

/// Reasons for rejecting a well-formed job permanently (HTTP 422).
enum class rejection : std::uint8_t {
  unknown_team,
  over_team_limit,
  one_zone_and_spread,    // a gang must run in a single zone and also be spread over zones
  named_zone_and_spread,  // a gang names a zone and must also be spread over zones
  no_fitting_machine_type,
  too_few_zones_to_spread,
  depends_on_itself,
  unknown_dependency,  // a dependency was never accepted
};
/// Returns the error text for users.
const char* text_of(rejection reason);

/// Returns why the job could never run with these teams and machine types, or nothing if it could.
std::optional<rejection> find_rejection(const job_store::job_spec& spec,
                                        const std::vector<config::team>& teams,
                                        const std::vector<admission::machine_type>& types);

}  // namespace gingerdrift::api
