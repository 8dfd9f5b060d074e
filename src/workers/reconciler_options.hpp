#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace gingerdrift::workers {

/// Settings of the reconciler.
struct reconciler_options {
  duration heartbeat_interval = seconds(3);
  duration worker_lease = seconds(24);   // renewed by each answer to a heartbeat
  duration renewal_grace = seconds(10);  // how long a deposed leader may still renew worker leases
  std::uint32_t quarantine_after_failed_jobs = 2;  // number of jobs that failed on a machine
  duration failing_job_backoff = seconds(10);      // first back-off of a job that fails everywhere
  std::size_t probes_per_second = 20;  // limit for probes of machines that may be unreachable
};

/// Queries and notifications from the reconciler to the leader.
struct reconciler_hooks {
  /// Reports whether the leader certainly still holds its lease.
  std::function<bool()> lease_valid;
  /// Is called when something changed that a scheduling cycle should take into account.
  std::function<void()> changed;
  /// Returns the size of the image cache of machines of that type, in GB.
  std::function<double(const std::string& type)> cache_gb;
  /// Reports whether the machine was rented in this term.
  std::function<bool(const machine_name& machine)> rented_in_term;
};

}  // namespace gingerdrift::workers
