#pragma once

#include <nlohmann/json.hpp>

#include "store/job.hpp"

/// Adapts the parts of the records interface that are specific to the version before dependencies.
/// The build renames the namespace `gingerdrift`.
namespace gingerdrift::former_records {

inline constexpr const char* release_name = "before_dependencies";
inline constexpr bool release_supports_dependencies = false;

/// Returns the head record of a newly accepted job.
inline nlohmann::json accepted_head(const gingerdrift::store::job_spec& spec,
                                    std::int64_t created_ms, double value_kb) {
  return gingerdrift::store::write_new(spec, created_ms,
                                       gingerdrift::store::unit_tasks_for(value_kb));
}

/// Returns the final status in a final record.
template <typename end_type>
auto status_of(const end_type& end) {
  return end.status;
}

/// Returns the number of done tasks in a final record.
template <typename end_type>
auto tasks_done_of(const end_type& end) {
  return end.done;
}

}  // namespace gingerdrift::former_records
