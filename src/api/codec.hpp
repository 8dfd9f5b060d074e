#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "api/job_validation.hpp"
#include "job_store/job.hpp"

namespace gingerdrift::api {

/// The result of parsing a submission: the job that it describes, or why it is malformed.
struct parsed_submission {
  /// Error text for the user. Without a value, the submission is well-formed and the other fields
  /// are valid.
  std::optional<std::string> format_error;
  job_store::job_spec spec;
  std::vector<job_id> dependencies;  // without duplicates
};

/// Reports whether the text is a valid job id: `run-` followed by 1 to 20 digits.
bool is_valid_job_id(const std::string& id);
/// Parses the JSON body of a submission and validates the type and the range of each field.
parsed_submission parse_submission(const std::string& text);
/// Returns the JSON body that shows the state of a job.
std::string encode_state(const job_id& id, const char* state);
/// Returns the JSON body that shows the state of a job and how many of its tasks are done and
/// running.
std::string encode_progress(const job_id& id, const char* state, std::uint32_t done,
                            std::uint32_t running);
/// Returns the JSON body that shows why a request was not carried out.
std::string encode_error(const std::string& why);

}  // namespace gingerdrift::api
