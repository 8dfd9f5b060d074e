// tests/rule_checks_test.cpp verifies that each check reports violations.
#include "support/machine_rules.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::testing {

namespace {

/// The maximum time that a run command may be in transit. Workers drop the answer to a heartbeat
/// after 4 s, which bounds the delay on links that hold packets. On other links, answers arrive
/// within milliseconds.
constexpr duration max_answer_delay_on_held_links = seconds(4);
constexpr duration max_answer_delay = milliseconds(20);
/// Tolerance for comparisons of sums of GPUs.
constexpr double gpu_tolerance = 1e-9;

}  // namespace

/// After a user received the state `cancelled` for a job, only run commands that were already in
/// transit may arrive.
void machine_rules::run_command_accepted(const std::string& job) {
  if (context_.jobs.at(job).fails) ++context_.event_counts["starts_of_failing_jobs"];
  const auto confirmed = history_.confirmed_cancellations().find(job);
  if (confirmed == history_.confirmed_cancellations().end()) return;
  const duration elapsed = context_.net.now() - confirmed->second;
  if (elapsed >
      (context_.net.ever_held_packets() ? max_answer_delay_on_held_links : max_answer_delay))
    context_.violations.add("start after its cancellation " + job);
}

void machine_rules::task_started(const sim_machine& machine, const task_key& task) {
  if (!history_.dependencies_done(task.job)) context_.violations.add("too_early " + task.job);
  context_.event_counts["dependents_started"] += !context_.jobs.at(task.job).dependencies.empty();
  check_place(machine, task);
  check_quotas();
}

void machine_rules::check_place(const sim_machine& machine, const task_key& task) {
  auto& violations = context_.violations;
  const auto& job = context_.jobs.at(task.job);
  std::size_t in_zone = 0;
  fleet_.for_each_task([&](const sim_machine& other, const task_key& key, const auto& running) {
    if (key.job != job.id || !running.has_process()) return;
    if (key.index == task.index && &other != &machine) violations.add("ran_twice " + job.id);
    if (job.one_zone && other.zone() != machine.zone())
      violations.add("wrong_place: zone " + job.id);
    in_zone += other.zone() == machine.zone();
  });
  if (job.spread && in_zone > (job.tasks + 1) / 2) violations.add("wrong_place: spread " + job.id);
  if (machine.spot() && !job.spot) violations.add("wrong_place: spot " + job.id);
  if (!job.zone.empty() && machine.zone() != job.zone)
    violations.add("wrong_place: not in its zone " + job.id);
}

double machine_rules::gpus_used_by(const std::string& team) const {
  double gpus = 0;
  fleet_.for_each_task([&](const sim_machine&, const task_key&, const auto& task) {
    if (task.has_process() && task.job->team == team) gpus += task.job->gpus;
  });
  return gpus;
}

void machine_rules::check_quotas() {
  for (const auto& [team, limit] : context_.limits) {
    const double used = gpus_used_by(team);
    if (used > limit + gpu_tolerance) {
      log_tasks_of(team);
      context_.violations.add("quota " + team);
    }
    if (used > limit - gpu_tolerance) ++context_.event_counts["quota_limit_reached"];
  }
}

void machine_rules::log_tasks_of(const std::string& team) const {
  fleet_.for_each_task([&](const sim_machine& machine, const task_key& key, const auto& task) {
    if (!task.has_process() || task.job->team != team) return;
    spdlog::debug("task of {} machine={} task={}/{} hanging={} mute={}", team, machine.name(),
                  key.job, key.index, machine.is_hanging(), context_.net.is_mute(machine.name()));
  });
}

/// Tasks on hanging machines are checked too, because they may continue at any time until the lease
/// of the worker expires.
void machine_rules::machine_stepped() {
  check_cancelled_jobs();
  if (users_.has_dependents() && !history_.confirmed_cancellations().empty())
    check_jobs_of_cancelled_ancestors();
}

bool machine_rules::has_process(const std::string& job) const {
  bool found = false;
  fleet_.for_each_task([&](const sim_machine&, const task_key& key, const auto& task) {
    found = found || (key.job == job && task.has_process());
  });
  return found;
}

void machine_rules::check_cancelled_jobs() {
  const duration allowed = from_seconds(context_.parameters.cancel_s);
  for (const auto& [job, confirmed_at] : history_.confirmed_cancellations()) {
    if (context_.net.now() - confirmed_at > allowed && has_process(job))
      context_.violations.add("ran_cancelled " + job);
  }
}

void machine_rules::check_jobs_of_cancelled_ancestors() {
  const duration allowed = from_seconds(context_.parameters.cancel_s);
  fleet_.for_each_task([&](const sim_machine&, const task_key& key, const auto& task) {
    if (task.job->dependencies.empty() || !task.has_process()) return;
    const auto since = history_.cancelled_with_ancestor_since(key.job);
    if (since && context_.net.now() - *since > allowed)
      context_.violations.add("ran_cancelled with another " + key.job);
  });
}

}  // namespace gingerdrift::testing
