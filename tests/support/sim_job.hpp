#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gingerdrift::testing {

/// The number of GPUs of each simulated machine.
constexpr double gpus_per_machine = 8;

/// A job as its user submits it, and its behaviour on simulated machines.
struct sim_job {
  std::string id;
  std::string team;
  bool gang = false;  // false: an array
  std::uint32_t tasks = 1;
  double gpus = 1;  // per task
  double cpus = 1;  // per task
  /// Run time of the first task. Each further task runs `stagger_s` longer than the one before it.
  double run_s = 10;
  double stagger_s = 0;
  double checkpoint_s = 5;  // time between two checkpoints; 0: the job saves none
  double save_s = 1;        // time that a stopped task takes to save its state
  /// Mean time that a machine takes to fetch the image. The actual time is between 50 % and 150 %
  /// of the mean. 0: the image takes between 0.2 s and 2 s.
  double fetch_s = 0;
  bool one_zone = false;  // all tasks must be in the same zone
  bool spread = false;    // at most half of the tasks, rounded up, may be in one zone
  bool spot = false;      // the job may run on spot machines
  std::string zone;       // zone that the job is bound to; empty: any
  bool fails = false;     // each task fails once its image is fetched
  std::string priority = "standard";
  std::vector<std::string> dependencies;  // ids of jobs that must be done first

  /// Returns the number of tasks that must be done when the job is reported as done. One is enough
  /// for a gang, because its members end together.
  std::uint32_t required_done_tasks() const { return gang ? 1 : tasks; }
  /// Returns the JSON body of the submission of this job.
  std::string body() const;
};

/// Returns the id of the job with a number. The service requires ids to begin with "run-".
inline std::string job_name(std::size_t number) { return "run-" + std::to_string(number); }

/// Returns an array job without placement constraints, whose tasks need one CPU and one GPU each.
sim_job basic_job(const std::string& id, const std::string& team, std::uint32_t tasks,
                  double run_s);
/// Returns an array job of the team "blue" that may run on spot machines.
sim_job array_job(const std::string& id, std::uint32_t tasks, double run_s);
/// Returns a gang job of the team "red" whose members occupy a whole machine each, all in one zone.
sim_job gang_job(const std::string& id, std::uint32_t tasks, double run_s);

}  // namespace gingerdrift::testing
