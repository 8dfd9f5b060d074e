#pragma once

#include <cstddef>
#include <cstdint>

namespace gingerdrift::job_store {

class job;
struct job_spec;

/// Returns the number of tasks per unit for a job with `tasks` tasks. Larger units need fewer
/// writes to the store for a large array. `head_bytes`: size of the job's head record without any
/// tasks. `value_bytes`: size limit of a value.
std::uint32_t plan_tasks_per_unit(std::uint32_t tasks, std::size_t head_bytes,
                                  std::size_t value_bytes);

/// Creates a newly accepted job whose units are planned for values of at most `value_bytes`.
/// `created_ms`: since 1970.
job create_job(job_spec spec, std::int64_t created_ms, std::size_t value_bytes);

}  // namespace gingerdrift::job_store
