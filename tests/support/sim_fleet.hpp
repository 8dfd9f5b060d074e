#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "support/sim_machine.hpp"

namespace gingerdrift::testing {

/// Receives events of the machines of a fleet at the time they occur.
class machine_observer {
 public:
  virtual ~machine_observer() = default;
  /// Called when a machine accepts a command to run a task of this job that it does not have yet.
  virtual void run_command_accepted(const std::string& job) = 0;
  /// Called when the process of a task starts, even if it then waits for the other members of its
  /// gang.
  virtual void task_started(const sim_machine& machine, const task_key& task) = 0;
  /// Called after a machine has advanced its tasks, which each machine does several times per
  /// second unless it hangs.
  virtual void machine_stepped() = 0;
};

/// The simulated machines, and the progress of the tasks that ran on them.
class sim_fleet {
 public:
  using machine_map = std::map<std::string, std::unique_ptr<sim_machine>>;

  explicit sim_fleet(site_context& context) : context_(context) {}

  site_context& context() const { return context_; }
  /// Sets the observer. Must be called once, before the first machine boots.
  void set_observer(machine_observer& observer) { observer_ = &observer; }
  /// Called when the last task of a job is done, before any controller is notified.
  std::function<void(const std::string& job)> on_job_done;
  /// Called when the controller at this address renews the lease of a worker that has tasks.
  std::function<void(const std::string& address)> on_lease_renewed;

  /// Creates a machine that has not booted yet.
  sim_machine& create_machine(const std::string& zone, bool spot);
  void add_booted_machine(const std::string& zone, bool spot) { create_machine(zone, spot).boot(); }
  /// Returns all machines ever created, by name, including those that are gone.
  const machine_map& machines() const { return machines_; }
  sim_machine& machine(const std::string& name) { return *machines_.at(name); }
  /// Returns the number of machines that are not gone.
  std::size_t present_machines() const;
  /// Interrupts the first `count` spot machines by name; fewer if there are not as many.
  void interrupt_spot_machines(std::size_t count);
  /// Cuts the links between a machine and all controllers in both directions.
  void cut_from_controllers(const sim_machine& machine, duration span, sim_net::cut_mode mode);
  /// Drops all packets from controllers to the machine, while its heartbeats still arrive at the
  /// controllers.
  void cut_commands_to(const sim_machine& machine, duration span);

  /// Calls `visit(machine, key, task)` for every task on every machine, in the order of machine
  /// names and task keys.
  template <typename visitor>
  void for_each_task(const visitor& visit) const {
    for (const auto& [name, machine] : machines_) {
      for (const auto& [key, task] : machine->tasks()) visit(*machine, key, task);
    }
  }
  /// Returns how many members of an attempt of a gang satisfy the condition.
  template <typename condition>
  std::size_t count_members(const std::string& job, std::uint64_t attempt,
                            const condition& holds) const {
    std::size_t count = 0;
    for_each_task([&](const sim_machine&, const task_key& key, const sim_machine::task& member) {
      count += key.job == job && member.attempt == attempt && holds(member);
    });
    return count;
  }
  /// Returns the indexes of the tasks that are done.
  const std::set<std::uint32_t>& done_tasks(const std::string& job) const;
  bool is_task_done(const task_key& task) const {
    return done_tasks(task.job).count(task.index) != 0;
  }
  /// Reports whether as many tasks are done as the job requires; see sim_job::required_done_tasks.
  bool is_job_done(const std::string& job) const {
    return done_tasks(job).size() >= context_.jobs.at(job).required_done_tasks();
  }
  void mark_done(const task_key& task) { done_[task.job].insert(task.index); }
  /// Returns the progress of the task, in seconds, that earlier attempts saved in checkpoints.
  double& saved_progress_s(const task_key& task) { return saved_progress_s_[task]; }
  /// Returns the number of task starts, including those of repeated attempts.
  std::size_t task_starts() const { return task_starts_; }
  /// Returns, for each job that has started, when its first task started.
  const std::map<std::string, time_point>& first_starts() const { return first_starts_; }
  bool has_started(const std::string& job) const { return first_starts_.count(job) != 0; }

  // Called by the machines.

  void run_command_accepted(const std::string& job) { observer_->run_command_accepted(job); }
  void task_started(const sim_machine& machine, const task_key& task);
  /// Records that a task is done. `token` is the highest fencing token that its machine has seen.
  void task_done(const task_key& task, std::uint64_t token);
  void lease_renewed(const std::string& address) const {
    if (on_lease_renewed) on_lease_renewed(address);
  }
  void machine_stepped() { observer_->machine_stepped(); }

 private:
  site_context& context_;
  machine_observer* observer_ = nullptr;
  machine_map machines_;
  std::uint64_t next_machine_ = 0;
  std::map<std::string, std::set<std::uint32_t>> done_;
  /// By job, the fencing tokens under which its tasks were done.
  std::map<std::string, std::set<std::uint64_t>> tokens_of_done_;
  std::map<task_key, double> saved_progress_s_;
  std::size_t task_starts_ = 0;
  std::map<std::string, time_point> first_starts_;
};

}  // namespace gingerdrift::testing
