#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "job_store/job_table.hpp"

namespace gingerdrift::testing {

/// What the owner of a job may ask for.
inline job_store::job_spec make_spec(const job_id& id, std::uint32_t tasks = 1) {
  job_store::job_spec spec;
  spec.id = id;
  spec.tasks = tasks;
  return spec;
}

/// A job as a leader holds it; with parts if a key doesn't hold all of its tasks.
inline job_store::job make_job(const job_id& id, std::uint32_t tasks = 1,
                               std::uint32_t unit_tasks = job_store::job::least_unit) {
  return {make_spec(id, tasks), 0, unit_tasks};
}

/// A job that waits for others.
inline job_store::job make_waiting_job(const job_id& id, std::vector<job_id> dependencies) {
  job_store::job job = make_job(id);
  job.wait_for(std::move(dependencies));
  return job;
}

inline job_id numbered_job(std::uint64_t number) { return job_id("run-" + std::to_string(number)); }

/// The first attempt at a task, on that machine.
inline void place_first_attempt(job_store::job& job, std::uint32_t task,
                                const machine_name& machine) {
  job.place_attempt(task, attempt_number(1), machine, worker_incarnation(1));
}

/// All of its tasks succeed.
inline void finish_all_tasks(job_store::job& job) {
  for (std::uint32_t task = 0; task < job.spec().tasks; ++task) job.finish_task(task);
  job.complete_if_all_tasks_done();
}

/// Nothing of it is placed any more.
inline void remove_all_attempts(job_store::job& job) {
  while (!job.attempts().empty()) job.remove_attempt(job.attempts().begin()->first);
}

/// Of a leader that keeps its lease and does nothing with what it is told.
inline job_store::job_table::hooks no_op_hooks() {
  return {.stored = [](const job_id&) {},
          .finalized = [](const job_id&, const job_store::terminal_state&) {},
          .committed = [] {},
          .deposed = [] {},
          .may_write = [] { return true; }};
}

}  // namespace gingerdrift::testing
