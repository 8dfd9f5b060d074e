#pragma once

#include <string>

#include "support/sim_service.hpp"
#include "support/trace_line.hpp"

namespace gingerdrift::testing {

/// Schedules the submission of the jobs that the lines of a scenario describe.
class scenario_workload {
 public:
  explicit scenario_workload(sim_service& service) : service_(service) {}

  /// Handles `job ID at= …`: a single job.
  void submit_job(const trace_line& line);
  /// Handles `mixed jobs= over= run=`: arrays and gangs, some of them with high priority, bound to
  /// a zone, or spread over both zones.
  void submit_mixed(const trace_line& line);
  /// Handles `pipelines count= from= over= …`: groups of five jobs each, whose dependencies form a
  /// diamond followed by one more job.
  void submit_pipelines(const trace_line& line);

 private:
  sim_job mixed_job(std::size_t number, double longest_run_s);
  sim_job pipeline_stage(const trace_line& line, std::size_t pipeline, std::size_t stage,
                         const std::vector<std::size_t>& dependency_stages);
  std::vector<sim_job> pipeline_jobs(const trace_line& line, std::size_t pipeline);

  sim_service& service_;
};

}  // namespace gingerdrift::testing
