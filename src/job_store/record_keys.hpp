#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>

#include "base/ids.hpp"

namespace gingerdrift::job_store {

/// Prefixes of the stored keys. A job has a head record and, if it is large, part records; after
/// its end a final record replaces them. The placement log has the placements of many jobs.
inline constexpr const char* head_prefix = "gd/job/";
inline constexpr const char* part_prefix = "gd/part/";
inline constexpr const char* final_prefix = "gd/final/";
inline constexpr const char* log_prefix = "gd/log/";

/// Returns the key of a head record.
std::string head_key(const job_id& id);
/// Returns the key of a part record.
std::string part_key(const job_id& id, std::size_t part);
/// Returns the key of a final record.
std::string final_key(const job_id& id);
/// Returns the key of a slot of the placement log.
std::string log_key(std::size_t slot);

/// Identifies one key of a job's record: the head (index 0) or a part (index 1 and up).
struct unit_id {
  job_id job;
  std::size_t index = 0;
  bool is_head() const { return index == 0; }
  friend auto operator<=>(const unit_id&, const unit_id&) = default;
};

/// Returns the key of a record unit: a head or a part.
std::string unit_key(const unit_id& unit);
/// Returns the record unit with this key, or nothing if it is not the key of a head or a part.
std::optional<unit_id> unit_of_key(const std::string& key);
/// Returns the job with this head key, or nothing if it is not the key of a head.
std::optional<job_id> job_of_head_key(const std::string& key);
/// Returns the job with this final record key, or nothing if it is not the key of a final record.
std::optional<job_id> job_of_final_key(const std::string& key);
/// Reports whether the key belongs to the placement log.
bool is_log_key(const std::string& key);

/// Keys of the dependencies that do not fit into a job's head record. Each of the keys holds a part
/// of the list.
struct dependency_parts {
  std::string prefix;  // common prefix of the keys
  std::size_t count = 0;
};

/// Returns the key of a part of a dependency list.
std::string dependency_part_key(const dependency_parts& parts, std::size_t index);

}  // namespace gingerdrift::job_store
