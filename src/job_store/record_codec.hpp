#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "base/ids.hpp"
#include "job_store/record_error.hpp"
#include "job_store/terminal_state.hpp"

/// Codec for all stored records of a job. Decoding a malformed record throws record_error.
namespace gingerdrift::job_store {

class job;

/// Returns the name of a status in records.
const char* status_name(job_status status);

/// Encodes the head record: the description and status, and also the tasks of a job that is stored
/// under one key.
nlohmann::json encode_head(const job& job);
/// Decodes a head record. `version`: version of its key. The parts of a large job have to be
/// decoded afterwards.
job decode_head(const nlohmann::json& record, store_revision version);

/// Encodes a part record of a large job: the tasks of one unit.
nlohmann::json encode_part(const job& job, std::size_t unit);
/// Decodes a part record into a job whose head was decoded. If it throws, some of the part may
/// already be in the job.
void decode_part(job& job, std::size_t unit, const nlohmann::json& record, store_revision version);

/// Encodes the final record, which replaces all other records of the job.
nlohmann::json encode_final(const job& job);
/// Decodes a final record. Throws record_error if it is malformed.
terminal_state decode_final(const nlohmann::json& record);
/// Decodes a final record. Returns nothing if it is malformed.
std::optional<terminal_state> try_decode_final(const nlohmann::json& record);

/// Splits a list of dependencies into values of at most `value_bytes` each.
std::vector<nlohmann::json> encode_dependency_parts(const std::vector<job_id>& names,
                                                    std::size_t value_bytes);
/// Decodes a part of a dependency list. Throws record_error if it is malformed.
std::vector<job_id> decode_dependency_part(const nlohmann::json& record);

}  // namespace gingerdrift::job_store
