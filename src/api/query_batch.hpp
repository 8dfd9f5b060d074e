#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/ids.hpp"

namespace gingerdrift::api {

/// Target of a request, forwarded by a controller to the leader, that asks for the states of
/// several jobs. Its body is a msgpack array of job ids; the body of its response is an array of as
/// many answers. Users can't send it. A controller that does not support it responds 404.
extern const char* const query_batch_target;

/// The leader's answer to one query of a batch.
struct query_answer {
  /// 200, or 503 if the leader's memory has no definite state of the job.
  int status = 0;
  /// The body of the response for the user if the status is 200.
  std::string body;
};

/// Encodes the body of a request.
std::string encode_query_batch(const std::vector<job_id>& jobs);
/// Encodes the body of a response.
std::string encode_query_answers(const std::vector<query_answer>& answers);
/// Decodes the body of a request; returns no value if it is malformed.
std::optional<std::vector<job_id>> decode_query_batch(const std::string& bytes);
/// Decodes the body of a response; returns no value if it is malformed or has not `count` answers.
std::optional<std::vector<query_answer>> decode_query_answers(const std::string& bytes,
                                                              std::size_t count);

}  // namespace gingerdrift::api
