#pragma once

#include "admission/cycle_state.hpp"

namespace gingerdrift::admission {

/// Identifies a placed task by the index of its job in `cycle_state::jobs` and its index in
/// `job_view::placed`.
struct placed_task {
  std::size_t job;
  std::size_t place;
  bool operator==(const placed_task&) const = default;
};

/// A unit of preemption: one task of an array, or a whole gang, which is identified by any of its
/// tasks. `cost` estimates the resources wasted by stopping it, in GPU seconds, or in CPU seconds
/// if the job uses no GPUs.
struct victim {
  placed_task task;
  double cost;
};

/// Returns the victim that contains the task: the task itself, or the whole gang if the job is one.
victim make_victim(const job_view& job, placed_task task, time_point now);
/// Sorts victims by ascending cost; victims of equal cost keep their order.
void sort_by_cost(std::vector<victim>& victims);
/// Returns the number of tasks that stop when one task of the job is preempted.
std::size_t tasks_stopped_together(const job_view& job);
/// Returns the amount by which the usage of a team falls when one task of the job is preempted.
resources freed_by_stopping(const job_view& job);

/// Index of the placed tasks on each machine, without those that were told to stop. Built at most
/// once per cycle, at the first search for victims.
class placed_task_index {
 public:
  /// Builds the index. Later calls do nothing.
  void build(const cycle_state& cycle);
  /// Returns the tasks on a machine.
  const std::vector<placed_task>& on(std::size_t machine) const { return by_machine_[machine]; }
  /// Removes a task that was told to stop.
  void remove(std::size_t machine, const placed_task& task) {
    std::erase(by_machine_[machine], task);
  }

 private:
  bool built_ = false;
  std::vector<std::vector<placed_task>> by_machine_;
};

}  // namespace gingerdrift::admission
