#include "job_store/record_layout.hpp"

#include <algorithm>
#include <utility>

#include "job_store/job.hpp"

namespace gingerdrift::job_store {

namespace {

/// An attempt or a finished range each, as they mostly are; a record that turns out larger waits
/// until some of its tasks have ended.
constexpr std::size_t task_bytes = 28;
/// A part without any task.
constexpr std::size_t part_overhead_bytes = 64;
constexpr std::size_t most_unit_tasks = 400;

std::size_t tasks_that_fit(std::size_t value_bytes, std::size_t overhead_bytes) {
  const std::size_t left = value_bytes > overhead_bytes ? value_bytes - overhead_bytes : 0;
  return std::clamp<std::size_t>(left / task_bytes, job::least_unit, most_unit_tasks);
}

}  // namespace

std::uint32_t unit_tasks_for(std::uint32_t tasks, std::size_t head_bytes, std::size_t value_bytes) {
  const std::size_t in_head = tasks_that_fit(value_bytes, head_bytes);
  if (tasks <= in_head) return static_cast<std::uint32_t>(in_head);
  // Parts hold no description, and so more tasks. A job that would fit one of them but not the head
  // still has to be a large one.
  const std::size_t in_part =
      std::min<std::size_t>(tasks_that_fit(value_bytes, part_overhead_bytes), tasks - 1);
  return static_cast<std::uint32_t>(std::max<std::size_t>(in_part, job::least_unit));
}

job create_job(job_spec spec, std::int64_t created_ms, std::size_t value_bytes) {
  const std::size_t head_bytes = encode_head(job(spec, created_ms)).dump().size();
  const std::uint32_t unit_tasks = unit_tasks_for(spec.tasks, head_bytes, value_bytes);
  return {std::move(spec), created_ms, unit_tasks};
}

}  // namespace gingerdrift::job_store
