// tests/rule_checks_test.cpp verifies that each check reports violations.
#include "support/progress_rules.hpp"

#include <algorithm>

namespace gingerdrift::testing {

namespace {

constexpr auto check_interval = seconds(1);
constexpr auto max_time_without_answer = seconds(75);
constexpr auto max_wait_despite_capacity = seconds(90);
/// The time after submission within which the largest jobs of each kind must start.
constexpr auto max_start_delay_of_largest = seconds(240);
/// Tolerance for comparisons of sums of GPUs.
constexpr double gpu_tolerance = 1e-9;

}  // namespace

void progress_rules::expect_progress() {
  expected_since_ = context_.net.now();
  check_waiting();
}

void progress_rules::check_waiting() {
  context_.net.after(check_interval, [this] { check_waiting(); });
  for (const auto& [job, record] : users_.records()) {
    if (!record.has_state()) continue;
    if (record.is_finished() || record.cancel_requested) {
      could_start_since_.erase(job);
    } else {
      check_waiting_job(job, record);
    }
  }
}

void progress_rules::check_waiting_job(const std::string& job, const user_record& record) {
  const time_point now = context_.net.now();
  const time_point answered_at = record.polled_at.value_or(time_point{});
  if (now - std::max(answered_at, *expected_since_) > max_time_without_answer)
    context_.violations.add("forgotten: no answer " + job);
  if (!could_start(job)) {
    could_start_since_.erase(job);
  } else if (now - could_start_since_.emplace(job, now).first->second > max_wait_despite_capacity) {
    context_.violations.add("waits beside capacity " + job);
  }
}

/// Reports whether usable machines have enough free capacity, and the team enough quota, for all
/// members of a gang or for one task of an array.
bool progress_rules::could_start(const std::string& id) const {
  const auto& job = context_.jobs.at(id);
  const auto placed = placement_of(id);
  if (placed.tasks.size() >= job.tasks || !history_.dependencies_done(id)) return false;
  // A gang with some members placed is being started, so it no longer counts as waiting.
  if (job.gang && !placed.tasks.empty()) return false;
  const std::size_t needed_tasks = job.gang ? job.tasks : 1;
  return quota_allows(job, needed_tasks) && has_capacity(job, placed.zone, needed_tasks);
}

progress_rules::placement progress_rules::placement_of(const std::string& job) const {
  placement placed{.tasks = fleet_.done_tasks(job), .zone = {}};
  fleet_.for_each_task([&](const sim_machine& machine, const task_key& key, const auto&) {
    if (key.job != job) return;
    placed.tasks.insert(key.index);
    placed.zone = machine.zone();
  });
  return placed;
}

bool progress_rules::quota_allows(const sim_job& job, std::size_t tasks) const {
  double planned = static_cast<double>(tasks) * job.gpus;
  fleet_.for_each_task([&](const sim_machine&, const task_key&, const auto& task) {
    if (task.phase != task_phase::ended && task.job->team == job.team) planned += task.job->gpus;
  });
  return planned <= context_.limits.at(job.team) + gpu_tolerance;
}

bool progress_rules::may_use(const sim_job& job, const std::string& zone,
                             const sim_machine& machine) {
  if (!machine.is_usable()) return false;
  if (machine.spot() && !job.spot) return false;
  if (!job.zone.empty() && machine.zone() != job.zone) return false;
  if (zone.empty()) return true;
  if (job.one_zone && machine.zone() != zone) return false;
  return !job.spread || machine.zone() != zone;
}

double progress_rules::free_gpus(const sim_machine& machine) {
  double free = gpus_per_machine;
  for (const auto& [key, task] : machine.tasks()) {
    if (task.phase != task_phase::ended) free -= task.job->gpus;
  }
  return free;
}

/// `zone` is the zone of the placed tasks of the job; empty if it has none.
bool progress_rules::has_capacity(const sim_job& job, const std::string& zone,
                                  std::size_t tasks) const {
  // Capacity is counted in GPUs, so jobs without GPUs are not checked.
  if (job.gpus == 0) return false;
  // In tasks; by zone if all tasks must be in the same zone.
  std::map<std::string, std::size_t> capacity;
  for (const auto& [name, machine] : fleet_.machines()) {
    if (!may_use(job, zone, *machine)) continue;
    const double fitting = std::max(0.0, free_gpus(*machine) + gpu_tolerance) / job.gpus;
    capacity[job.one_zone ? machine->zone() : std::string()] += static_cast<std::size_t>(fitting);
  }
  return std::any_of(capacity.begin(), capacity.end(),
                     [&](const auto& entry) { return entry.second >= tasks; });
}

bool progress_rules::started_in_time(const std::string& job) const {
  const auto started = fleet_.first_starts().find(job);
  if (started == fleet_.first_starts().end()) return false;
  return started->second - *users_.record(job).submitted_at <= max_start_delay_of_largest;
}

void progress_rules::check_served() {
  std::map<bool, std::uint32_t> largest;  // tasks; by whether it is a gang
  for (const auto& [id, job] : context_.jobs)
    largest[job.gang] = std::max(largest[job.gang], job.tasks);
  std::map<std::string, group> groups;
  for (const auto& [id, job] : context_.jobs) {
    const auto& record = users_.record(id);
    if (record.cancel_requested || record.state == "cancelled" || job.fails) continue;
    const std::string kind_name = job.gang ? "gangs" : "arrays";
    for (const auto& name : {"team " + job.team, kind_name}) {
      ++groups[name].jobs;
      groups[name].started += fleet_.has_started(id);
    }
    // The time limit counts from when a job is ready to start. This time is not recorded for jobs
    // with dependencies.
    if (job.tasks != largest[job.gang] || !job.dependencies.empty()) continue;
    auto& largest_jobs = groups["largest " + kind_name];
    ++largest_jobs.jobs;
    largest_jobs.started += started_in_time(id);
  }
  for (const auto& [name, members] : groups) {
    if (members.started * 2 < members.jobs)
      context_.violations.add("served: under half of " + name);
  }
}

}  // namespace gingerdrift::testing
