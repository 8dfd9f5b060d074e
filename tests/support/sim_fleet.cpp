#include "support/sim_fleet.hpp"

#include <algorithm>

namespace gingerdrift::testing {

sim_machine& sim_fleet::create_machine(const std::string& zone, bool spot) {
  constexpr std::uint64_t first_number = 100000;
  const std::string name = "n-" + std::to_string(first_number + next_machine_++);
  auto& machine = machines_[name];
  machine = std::make_unique<sim_machine>(*this, name, zone, spot);
  return *machine;
}

std::size_t sim_fleet::present_machines() const {
  return static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(),
                    [](const auto& entry) { return !entry.second->is_gone(); }));
}

void sim_fleet::interrupt_spot_machines(std::size_t count) {
  for (const auto& [name, machine] : machines_) {
    if (count == 0) return;
    if (!machine->spot() || machine->is_gone()) continue;
    machine->vanish();
    --count;
  }
}

void sim_fleet::cut_from_controllers(const sim_machine& machine, duration span,
                                     sim_net::cut_mode mode) {
  for (const auto& address : context_.controller_addresses)
    context_.net.cut(machine.name(), host_of(address), span, mode);
}

void sim_fleet::cut_commands_to(const sim_machine& machine, duration span) {
  for (const auto& address : context_.controller_addresses)
    context_.net.cut_one_way(host_of(address), machine.name(), span);
}

const std::set<std::uint32_t>& sim_fleet::done_tasks(const std::string& job) const {
  static const std::set<std::uint32_t> none;
  const auto tasks = done_.find(job);
  return tasks == done_.end() ? none : tasks->second;
}

void sim_fleet::task_started(const sim_machine& machine, const task_key& task) {
  ++task_starts_;
  first_starts_.emplace(task.job, context_.net.now());
  observer_->task_started(machine, task);
}

void sim_fleet::task_done(const task_key& task, std::uint64_t token) {
  const std::size_t tasks = context_.jobs.at(task.job).tasks;
  const bool was_done = done_tasks(task.job).size() == tasks;
  mark_done(task);
  auto& tokens = tokens_of_done_[task.job];
  if (tokens.insert(token).second && tokens.size() == 2)
    ++context_.event_counts["tasks_done_under_two_leaders"];
  if (was_done || done_tasks(task.job).size() < tasks) return;
  if (on_job_done) on_job_done(task.job);
}

}  // namespace gingerdrift::testing
