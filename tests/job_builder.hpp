#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "job_store/job_table.hpp"

namespace gingerdrift::testing {

/// Returns the description of a job with default values.
inline job_store::job_spec make_spec(const job_id& id, std::uint32_t tasks = 1) {
  job_store::job_spec spec;
  spec.id = id;
  spec.tasks = tasks;
  return spec;
}

/// Returns a job in a leader's memory. It has parts if it has more than `tasks_per_unit` tasks.
inline job_store::job make_job(const job_id& id, std::uint32_t tasks = 1,
                               std::uint32_t tasks_per_unit = job_store::job::min_tasks_per_unit) {
  return {make_spec(id, tasks), 0, tasks_per_unit};
}

/// Returns a job that waits for the given dependencies.
inline job_store::job make_waiting_job(const job_id& id, std::vector<job_id> dependencies) {
  job_store::job job = make_job(id);
  job.wait_for(std::move(dependencies));
  return job;
}

inline job_id numbered_job(std::uint64_t number) { return job_id("run-" + std::to_string(number)); }

/// Places the first attempt at a task on the given machine.
inline void place_first_attempt(job_store::job& job, std::uint32_t task,
                                const machine_name& machine) {
  job.place_attempt(task, attempt_number(1), machine, worker_incarnation(1));
}

/// Finishes all tasks of the job, which makes the job done.
inline void finish_all_tasks(job_store::job& job) {
  for (std::uint32_t task = 0; task < job.spec().tasks; ++task) job.finish_task(task);
  job.complete_if_all_tasks_done();
}

/// Removes all attempts of the job.
inline void remove_all_attempts(job_store::job& job) {
  while (!job.attempts().empty()) job.remove_attempt(job.attempts().begin()->first);
}

/// Hooks of a leader that keeps its lease and ignores all notifications.
inline job_store::job_table::hooks no_op_hooks() {
  return {.stored = [](const job_id&) {},
          .finalized = [](const job_id&, const job_store::terminal_state&) {},
          .committed = [] {},
          .deposed = [] {},
          .may_write = [] { return true; }};
}

}  // namespace gingerdrift::testing
