#include "job_store/record_layout.hpp"

#include <algorithm>
#include <utility>

#include "job_store/job.hpp"

namespace gingerdrift::job_store {

namespace {

/// Typical size of a task in a record: one attempt or one range of finished tasks. A record that
/// becomes larger than planned is not written until some of its tasks have ended.
constexpr std::size_t bytes_per_task = 28;
/// Size of a part record without any tasks.
constexpr std::size_t part_overhead_bytes = 64;
constexpr std::size_t max_tasks_per_unit = 400;

std::size_t tasks_that_fit(std::size_t value_bytes, std::size_t overhead_bytes) {
  const std::size_t left = value_bytes > overhead_bytes ? value_bytes - overhead_bytes : 0;
  return std::clamp<std::size_t>(left / bytes_per_task, job::min_tasks_per_unit,
                                 max_tasks_per_unit);
}

}  // namespace

std::uint32_t plan_tasks_per_unit(std::uint32_t tasks, std::size_t head_bytes,
                                  std::size_t value_bytes) {
  const std::size_t in_head = tasks_that_fit(value_bytes, head_bytes);
  if (tasks <= in_head) return static_cast<std::uint32_t>(in_head);
  // Parts hold no description and therefore more tasks than a head. A job whose tasks fit into one
  // part but not into the head must still be a large job.
  const std::size_t in_part =
      std::min<std::size_t>(tasks_that_fit(value_bytes, part_overhead_bytes), tasks - 1);
  return static_cast<std::uint32_t>(std::max<std::size_t>(in_part, job::min_tasks_per_unit));
}

job create_job(job_spec spec, std::int64_t created_ms, std::size_t value_bytes) {
  const std::size_t head_bytes = encode_head(job(spec, created_ms)).dump().size();
  const std::uint32_t tasks_per_unit = plan_tasks_per_unit(spec.tasks, head_bytes, value_bytes);
  return {std::move(spec), created_ms, tasks_per_unit};
}

}  // namespace gingerdrift::job_store
