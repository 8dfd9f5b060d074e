#pragma once

#include <cstdint>

namespace gingerdrift::api {

/// Reasons why a request can't be answered now and should be retried by the user (HTTP 503).
enum class retry_reason : std::uint8_t {
  state_service_unreachable,
  state_service_unreachable_here,  // answer to health checks
  state_service_budget_used_up,    // this controller's share of the state service's request rate
  not_leader,
  no_leader,
  machine_types_unknown,
  too_many_submissions,
  dependencies_unsupported,    // not every controller runs a version that supports them
  dependencies_undecided,      // the check whether they were accepted is not complete
  cancellation_not_confirmed,  // the record of the cancellation is not stored yet
  just_submitted,              // the leader has not read the job yet
  state_indeterminate,         // the latest state that users may have seen is not known here
  record_not_found,            // the job was accepted, but no record of it was found
  record_outdated,             // the record was read more than max_response_age ago
  record_unreadable,
  records_contradict,  // the job has both a head and a final record
};

/// Returns the error text for users.
const char* text_of(retry_reason reason);
/// Returns the name of the reason in logs and in the status report.
const char* log_value(retry_reason reason);

}  // namespace gingerdrift::api
