#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "base/ids.hpp"
#include "job_store/record_error.hpp"
#include "job_store/terminal_state.hpp"

/// The codec of all stored records of a job. What is read and malformed throws a record_error.
namespace gingerdrift::job_store {

class job;

/// The name of a status in records.
const char* status_name(job_status status);

/// The head record: description and status, and the tasks of a job that fits one key.
nlohmann::json encode_head(const job& job);
/// `version`: the key's. The job's parts, if it is large, are still to be read.
job decode_head(const nlohmann::json& record, store_revision version);

/// A part record of a large job: the tasks of one unit.
nlohmann::json encode_part(const job& job, std::size_t unit);
/// Reads a part of a job whose head was read. After an error the job holds some of the part.
void decode_part(job& job, std::size_t unit, const nlohmann::json& record, store_revision version);

/// The final record, which takes the place of all others.
nlohmann::json encode_final(const job& job);
/// Reads a final record. Throws record_error if it is malformed.
terminal_state decode_final(const nlohmann::json& record);
/// The same without an exception: nothing if the record is malformed.
std::optional<terminal_state> try_decode_final(const nlohmann::json& record);

/// Cuts a list of dependencies into values of at most that size.
std::vector<nlohmann::json> encode_dependency_parts(const std::vector<job_id>& names,
                                                    std::size_t value_bytes);
/// Reads a part of a dependency list. Throws record_error if it is malformed.
std::vector<job_id> decode_dependency_part(const nlohmann::json& record);

}  // namespace gingerdrift::job_store
