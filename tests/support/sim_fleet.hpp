#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "support/sim_machine.hpp"

namespace gingerdrift::testing {

/// Told of what happens on the machines of a fleet, at the moment it happens.
class machine_observer {
 public:
  virtual ~machine_observer() = default;
  /// A machine took a command to run a task of this job.
  virtual void run_command_accepted(const std::string& job) = 0;
  /// A task's process was started, be it to wait for the rest of its gang.
  virtual void task_started(const sim_machine& machine, const task_key& task) = 0;
  /// A machine has carried its tasks on; every machine does so several times a
  /// second.
  virtual void machine_stepped() = 0;
};

/// The simulated machines, and what the tasks on them have achieved.
class sim_fleet {
 public:
  using machine_map = std::map<std::string, std::unique_ptr<sim_machine>>;

  explicit sim_fleet(site_context& context) : context_(context) {}

  site_context& context() const { return context_; }
  /// To be called once, before the first machine boots.
  void set_observer(machine_observer& observer) { observer_ = &observer; }
  /// Called as the last task of a job is done, before any controller can know.
  std::function<void(const std::string& job)> on_job_done;
  /// Called as a worker with tasks has its lease renewed by the controller at
  /// this address.
  std::function<void(const std::string& node)> on_lease_renewed;

  /// A machine that is not booted yet.
  sim_machine& create_machine(const std::string& zone, bool spot);
  void add_booted_machine(const std::string& zone, bool spot) { create_machine(zone, spot).boot(); }
  /// All machines ever created, by name, also those that are gone.
  const machine_map& machines() const { return machines_; }
  sim_machine& machine(const std::string& name) { return *machines_.at(name); }
  /// Machines that are not gone.
  std::size_t present_machines() const;
  /// The cloud takes that many spot machines away.
  void interrupt_spot_machines(std::size_t count);
  /// Cuts the links between a machine and all controllers.
  void cut_from_controllers(const sim_machine& machine, duration span, sim_net::cut_mode mode);
  /// Nothing that controllers send reaches the machine; its own heartbeats
  /// arrive.
  void cut_commands_to(const sim_machine& machine, duration span);

  /// Calls `visit(machine, key, task)` for every task on every machine, in the order of their
  /// names.
  template <typename visitor>
  void for_each_task(const visitor& visit) const {
    for (const auto& [name, machine] : machines_) {
      for (const auto& [key, task] : machine->tasks()) visit(*machine, key, task);
    }
  }
  /// How many members of a gang's attempt satisfy the condition.
  template <typename condition>
  std::size_t count_members(const std::string& job, std::uint64_t attempt,
                            const condition& holds) const {
    std::size_t count = 0;
    for_each_task([&](const sim_machine&, const task_key& key, const sim_machine::task& member) {
      count += key.job == job && member.attempt == attempt && holds(member);
    });
    return count;
  }
  /// The tasks that were ever done, by index.
  const std::set<std::uint32_t>& done_tasks(const std::string& job) const;
  bool is_task_done(const task_key& task) const {
    return done_tasks(task.job).count(task.index) != 0;
  }
  /// Whether enough tasks are done for the job to be.
  bool is_job_done(const std::string& job) const {
    return done_tasks(job).size() >= context_.jobs.at(job).required_done_tasks();
  }
  void mark_done(const task_key& task) { done_[task.job].insert(task.index); }
  /// How far the task came in earlier attempts, as far as it was saved.
  double& saved_progress_s(const task_key& task) { return saved_progress_s_[task]; }
  /// Starts of tasks, those of later attempts included.
  std::size_t task_starts() const { return task_starts_; }
  /// When the first task of each job first started; without those that never
  /// did.
  const std::map<std::string, time_point>& first_starts() const { return first_starts_; }
  bool has_begun(const std::string& job) const { return first_starts_.count(job) != 0; }

  // Called by the machines.

  void run_command_accepted(const std::string& job) { observer_->run_command_accepted(job); }
  void task_started(const sim_machine& machine, const task_key& task);
  /// `token`: the fencing token of the leader that the machine last followed.
  void task_done(const task_key& task, std::uint64_t token);
  void lease_renewed(const std::string& node) const {
    if (on_lease_renewed) on_lease_renewed(node);
  }
  void machine_stepped() { observer_->machine_stepped(); }

 private:
  site_context& context_;
  machine_observer* observer_ = nullptr;
  machine_map machines_;
  std::uint64_t next_machine_ = 0;
  std::map<std::string, std::set<std::uint32_t>> done_;
  std::map<std::string, std::set<std::uint64_t>> tokens_of_done_;  // leaders it was done under
  std::map<task_key, double> saved_progress_s_;
  std::size_t task_starts_ = 0;
  std::map<std::string, time_point> first_starts_;
};

}  // namespace gingerdrift::testing
