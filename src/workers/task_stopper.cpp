#include "workers/task_stopper.hpp"

namespace gingerdrift::workers {

namespace {
/// Path under which a worker accepts commands in addition to those in answers to its heartbeats.
constexpr const char* commands_path = "/orders";
constexpr auto direct_call_deadline = seconds(2);
/// Added to the time that a job takes to save its state.
constexpr auto save_margin = seconds(2);
}  // namespace

void task_stopper::stop(job_store::job& job, const std::vector<std::uint32_t>& tasks,
                        duration grace) {
  std::map<machine_name, std::vector<command>> stops_by_machine;
  for (const auto task : tasks) {
    const auto entry = job.attempts().find(task);
    if (entry == job.attempts().end()) continue;
    auto& attempt = entry->second;
    // A further stop only takes effect if it has a shorter grace period: a stop without grace ends
    // a task that is still saving, and a stop with a longer one does nothing.
    if (attempt.stopping && grace >= attempt.grace) continue;
    job.mark_stopping(task, grace);
    stops_by_machine[attempt.machine].push_back(
        {command_type::stop, job.spec().id, task, attempt.number, grace});
  }
  if (!stops_by_machine.empty()) send(stops_by_machine);
}

void task_stopper::stop_all(job_store::job& job, duration grace) {
  std::vector<std::uint32_t> tasks;
  for (const auto& [task, attempt] : job.attempts()) tasks.push_back(task);
  stop(job, tasks, grace);
}

void task_stopper::stop_gracefully(job_store::job& job, const std::vector<std::uint32_t>& tasks) {
  const duration grace = job.spec().save + save_margin;
  if (job.spec().gang) {
    stop_all(job, grace);
  } else {
    stop(job, tasks, grace);
  }
}

/// Direct calls carry only stop commands. A stop that arrives late does no harm, whereas a late
/// start command would still be executed.
void task_stopper::send(const std::map<machine_name, std::vector<command>>& stops_by_machine) {
  if (!events_.lease_valid()) return;
  for (const auto& [machine, stops] : stops_by_machine) {
    const worker* receiver = workers_.find(machine);
    if (receiver == nullptr || !receiver->reported_in_term) continue;
    const std::string body = encode_commands(token_, stops, receiver->latest_position.incarnation);
    runtime_.call(receiver->address, {"POST", commands_path, body}, direct_call_deadline,
                  [](const net::response&) {
                    // The response proves nothing, because it may overtake a heartbeat. Only
                    // heartbeats count as proof.
                  });
  }
}

}  // namespace gingerdrift::workers
