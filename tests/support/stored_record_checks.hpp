#pragma once

#include "support/sim_site.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

/// Checks from now on that a final record never changes, that no head record is written for a job
/// that has a final record, and that no answer to users is older than the stored final state.
/// `state` and `site` must exist as long as the state service is used.
void check_stored_records(state_service& state, sim_site& site);

}  // namespace gingerdrift::testing
