#pragma once

#include <unordered_map>

#include "base/ids.hpp"
#include "job_store/job.hpp"

namespace gingerdrift::job_store {

/// The leader's unfinished jobs by id.
using job_map = std::unordered_map<job_id, job>;

/// Returns the job, or null if `jobs` does not contain it.
inline job* find_job(job_map& jobs, const job_id& id) {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : &found->second;
}
/// Returns the job, or null if `jobs` does not contain it.
inline const job* find_job(const job_map& jobs, const job_id& id) {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : &found->second;
}

}  // namespace gingerdrift::job_store
