#pragma once

#include "config/settings.hpp"
#include "job_store/job_state.hpp"

namespace gingerdrift::leader {

/// Returns for how long a controller may renew worker leases without new information from the store
/// about cancellations.
///
/// For a leader that lost its connection to the store, this time starts at the end of its own
/// lease; for a lease delegate, it starts when the delegate read the job. The result is never
/// negative. It is zero if a cancellation must take effect sooner than a worker lease expires. See
/// "Who renews a lease" in docs/design.md.
duration renewal_grace(const config::platform_settings& platform);

/// Returns when a cancellation may be acknowledged to users: as soon as it is stored, or, if a
/// worker lease may last longer than a cancellation may take to become effective, only once all
/// tasks of the job are gone.
job_store::cancellation_acknowledgement acknowledgement_of_cancellations(
    const config::platform_settings& platform);

}  // namespace gingerdrift::leader
