#pragma once

#include <cstdint>
#include <string>

#include "job_store/job_state.hpp"
#include "net/transport.hpp"

namespace gingerdrift::api {

/// Maximum age of a state of an unfinished job, from the time it was requested from the leader or
/// the state service until it is sent to the user. It equals the longest time that such a request
/// may take, so that only responses that waited in a stalled process are older.
constexpr duration max_response_age = milliseconds(1500);

/// Reasons why a request can't be answered now and should be retried by the user (HTTP 503).
enum class retry_reason : std::uint8_t {
  state_service_unreachable,
  state_service_unreachable_here,  // answer to health checks
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

/// Replies 503 with a Retry-After field and closes the connection, so that the user retries on a
/// new connection, which may reach another controller.
void retry_later(const net::reply_fn& reply, retry_reason reason);

/// Replies with a JSON body and keeps the connection open.
void reply_json(const net::reply_fn& reply, int status, std::string body);

/// Replies with a permanent error: the same request would fail again.
void reply_error(const net::reply_fn& reply, int status, const std::string& why);

/// Replies to a request for a job's state with its state and progress, or with 503 while the state
/// is indeterminate.
void reply_state(const job_id& job, const job_store::job_state& state, const net::reply_fn& reply);

/// Replies to a repeated submission or to a cancellation with the state of the accepted job,
/// without its progress.
void reply_state_name(const job_id& job, const job_store::job_state& state,
                      const net::reply_fn& reply);

/// Returns the name of a state as users see it, or an empty string for an indeterminate state.
const char* state_name(const job_store::job_state& state);

}  // namespace gingerdrift::api
