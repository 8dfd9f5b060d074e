#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gingerdrift::testing {

/// GPUs of each simulated machine.
constexpr double gpus_per_machine = 8;

/// A job as its user submits it, and how it behaves on simulated machines.
struct sim_job {
  std::string id;
  std::string team;
  bool gang = false;  // otherwise an array
  std::uint32_t tasks = 1;
  double gpus = 1;  // of each task
  double cpus = 1;  // of each task
  /// How long each task runs. Each later task of an array runs `stagger_s` longer than the one
  /// before it.
  double run_s = 10;
  double stagger_s = 0;
  double checkpoint_s = 5;  // between two checkpoints; 0: it saves none
  double save_s = 1;        // that a stopped task takes to save its state
  /// Mean time that a machine takes to fetch the image, between half of it and half as much again;
  /// 0: at most two seconds.
  double fetch_s = 0;
  bool one_zone = false;  // all tasks have to be in the same zone
  bool spread = false;    // at most half of the tasks, rounded up, may be in one zone
  bool spot = false;      // it may run on spot machines
  std::string zone;       // that it is bound to; empty: any
  bool fails = false;     // every task of it fails once started
  std::string priority = "standard";
  std::vector<std::string> dependencies;  // jobs that have to be done first

  /// How many of its tasks a user counts on to be done once the job is: members
  /// of a gang end together, so that one of them speaks for all.
  std::uint32_t required_done_tasks() const { return gang ? 1 : tasks; }
  /// The body of its submission.
  std::string body() const;
};

/// The name of the job with that number; names have to begin with "run-".
inline std::string job_name(std::size_t number) { return "run-" + std::to_string(number); }

/// An array without any constraint, whose tasks need a CPU and a GPU each.
sim_job basic_job(const std::string& id, const std::string& team, std::uint32_t tasks,
                  double run_s);
/// An array job of the team "blue" that may run on spot machines.
sim_job array_job(const std::string& id, std::uint32_t tasks, double run_s);
/// A gang of the team "red" whose members take a machine each, all in one zone.
sim_job gang_job(const std::string& id, std::uint32_t tasks, double run_s);

}  // namespace gingerdrift::testing
