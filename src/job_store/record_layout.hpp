#pragma once

#include <cstddef>
#include <cstdint>

namespace gingerdrift::job_store {

class job;
struct job_spec;

/// How many tasks a key holds: the more, the fewer of the store's writes a large array takes.
/// `head_bytes`: the size of its head record without any task.
std::uint32_t unit_tasks_for(std::uint32_t tasks, std::size_t head_bytes, std::size_t value_bytes);

/// A job as it is accepted, with its unit size planned for values of at most that size.
job create_job(job_spec spec, std::int64_t created_ms, std::size_t value_bytes);

}  // namespace gingerdrift::job_store
