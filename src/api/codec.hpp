#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "api/job_validation.hpp"
#include "job_store/job.hpp"

namespace gingerdrift::api {

/// What a submission asks for, or why it is malformed.
struct parsed_job {
  /// Why it is malformed, for the user; nothing: it is well-formed, and the other fields count.
  std::optional<std::string> format_error;
  job_store::job_spec spec;
  std::vector<job_id> dependencies;  // each once
};

/// Whether users may name a job so: `run-` and 1 to 20 digits.
bool is_valid_job_id(const std::string& id);
/// Reads a submission, and checks form and ranges.
parsed_job parse_submission(const std::string& text);
/// Writes the state of a job.
std::string write_state(const job_id& id, const char* state);
/// Writes the state of a job, and how many of its tasks are done and running.
std::string write_progress(const job_id& id, const char* state, std::uint32_t done,
                           std::uint32_t running);
/// Writes why a request was not carried out.
std::string encode_error(const std::string& why);

}  // namespace gingerdrift::api
