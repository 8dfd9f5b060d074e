#pragma once

#include <nlohmann/json.hpp>

#include "store/job.hpp"
#include "store/limits.hpp"

/// Adapts the parts of the records interface that are specific to the production version. The build
/// renames the namespace `gingerdrift`.
namespace gingerdrift::former_records {

inline constexpr const char* release_name = "production";
inline constexpr bool release_supports_dependencies = true;

/// Returns the head record of a newly accepted job.
inline nlohmann::json accepted_head(const gingerdrift::store::job_spec& spec,
                                    std::int64_t created_ms, double value_kb) {
  gingerdrift::store::service_limits limits;
  limits.value_kb = value_kb;
  const auto value_bytes = gingerdrift::store::planned_value_bytes(limits);
  return gingerdrift::store::write_head(gingerdrift::store::new_job(spec, created_ms, value_bytes));
}

/// Returns the final status in a final record.
inline gingerdrift::store::job_status status_of(const gingerdrift::store::stored_end& end) {
  return end.status();
}

/// Returns the number of done tasks in a final record.
inline std::uint32_t tasks_done_of(const gingerdrift::store::stored_end& end) {
  return end.tasks_done();
}

}  // namespace gingerdrift::former_records
