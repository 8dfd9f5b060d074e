#pragma once

#include <cstdint>
#include <string>

#include "api/answer_statistics.hpp"
#include "api/retry_reason.hpp"
#include "job_store/job_state.hpp"
#include "net/transport.hpp"

namespace gingerdrift::api {

/// Maximum age of a state of an unfinished job, from the time it was requested from the leader or
/// the state service until it is sent to the user. It equals the longest time that such a request
/// may take, so that only responses that waited in a stalled process are older.
constexpr duration max_response_age = milliseconds(1500);

/// Counts the reason, replies 503 with a Retry-After field and closes the connection, so that the
/// user retries on a new connection, which may reach another controller.
void retry_later(answer_statistics& statistics, const net::reply_fn& reply, retry_reason reason);

/// Replies with a JSON body and keeps the connection open.
void reply_json(const net::reply_fn& reply, int status, std::string body);

/// Replies with a permanent error: the same request would fail again.
void reply_error(const net::reply_fn& reply, int status, const std::string& why);

/// Returns the response body that shows the state and progress of a job. `state` must not be
/// indeterminate.
std::string encode_job_state(const job_id& job, const job_store::job_state& state);

/// Replies to a request for a job's state with its state and progress, or with 503 while the state
/// is indeterminate.
void reply_state(answer_statistics& statistics, const job_id& job,
                 const job_store::job_state& state, const net::reply_fn& reply);

/// Replies to a repeated submission or to a cancellation with the state of the accepted job,
/// without its progress.
void reply_state_name(const job_id& job, const job_store::job_state& state,
                      const net::reply_fn& reply);

/// Returns the name of a state as users see it, or an empty string for an indeterminate state.
const char* state_name(const job_store::job_state& state);

}  // namespace gingerdrift::api
