#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "api/retry_reason.hpp"
#include "base/enum_counter.hpp"

namespace gingerdrift::api {

/// The evidence on which a query for a job's state was answered.
enum class answer_source : std::uint8_t {
  terminal_state_cache,
  leader_memory,
  leader_response,  // to the forwarded query
  stored_record,
};

/// Outcomes of queries that were forwarded to the leader and could not be answered with its
/// response.
enum class forwarding_failure : std::uint8_t {
  no_response,  // no leader is known, or it did not respond in time
  refused,      // the leader responded that it can't answer
  outdated,     // the response was received more than max_response_age after the query
};

/// Counts on what evidence users' queries were answered, and why requests were not answered. Must
/// be used on the event loop's thread.
struct answer_statistics {
  enum_counter<answer_source, answer_source::stored_record> answers;
  enum_counter<forwarding_failure, forwarding_failure::outdated> forwarding_failures;
  enum_counter<retry_reason, retry_reason::records_contradict> retries;
  /// Responses to queries, of any status, that were sent after their user had stopped to wait.
  std::uint64_t late_responses = 0;

  /// Returns all counts for the status report. Values that never occurred are left out.
  nlohmann::json summary() const;
  /// Returns the increases since `earlier` of all counts except `answers` as "name=count" fields
  /// for the log; empty if there are none.
  std::string failures_since(const answer_statistics& earlier) const;
};

/// Returns the name in logs and in the status report.
const char* log_value(answer_source source);
/// Returns the name in logs and in the status report.
const char* log_value(forwarding_failure failure);

}  // namespace gingerdrift::api
