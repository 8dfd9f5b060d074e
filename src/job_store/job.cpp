#include "job_store/job.hpp"

#include <algorithm>
#include <utility>

namespace gingerdrift::job_store {

job::job(job_spec spec, std::int64_t created_ms, std::uint32_t tasks_per_unit)
    : spec_(std::move(spec)), created_ms_(created_ms), tasks_per_unit_(tasks_per_unit) {
  const std::size_t parts = large() ? (spec_.tasks + tasks_per_unit_ - 1) / tasks_per_unit_ : 0;
  units_.resize(1 + parts);
}

std::size_t job::stored_parts() const {
  const auto is_stored = [](const record_unit& part) { return part.version.exists(); };
  return static_cast<std::size_t>(std::count_if(units_.begin() + 1, units_.end(), is_stored));
}

bool job::complete_if_all_tasks_done() {
  if (!active() || !all_tasks_done()) return false;
  status_ = job_status::done;
  return true;
}

void job::wait_for(std::vector<job_id> names, dependency_parts more) {
  waiting_ = true;
  dependencies_ = std::move(names);
  more_dependencies_ = std::move(more);
}

void job::append_dependencies(const std::vector<job_id>& names) {
  dependencies_.insert(dependencies_.end(), names.begin(), names.end());
}

void job::become_ready(std::int64_t now_ms) {
  waiting_ = false;
  ready_ms_ = now_ms;
  dependencies_.clear();
}

dependency_parts job::release_dependency_parts() { return std::exchange(more_dependencies_, {}); }

attempt_number job::allocate_attempt_number(std::uint32_t task) {
  if (spec_.gang && !gang_attempt_.exists()) {
    for (const auto& unit : units_) gang_attempt_ = std::max(gang_attempt_, unit.next_attempt);
  }
  auto& next = units_[unit_of(task)].next_attempt;
  const attempt_number number = spec_.gang ? gang_attempt_ : next;
  next = std::max(next, number.next());
  return number;
}

void job::place_attempt(std::uint32_t task, attempt_number number, const machine_name& machine,
                        worker_incarnation incarnation) {
  attempt placed;
  placed.number = number;
  placed.machine = machine;
  placed.incarnation = incarnation;
  attempts_[task] = placed;
}

void job::adopt_attempts() {
  for (auto& [task, placed] : attempts_) placed.adopted = true;
}

void job::mark_sent(std::uint32_t task, std::uint64_t heartbeat) {
  auto& placed = attempts_.at(task);
  placed.phase = attempt_phase::sent;
  placed.sent_in_reply_to = heartbeat;
}

void job::update_phase(std::uint32_t task, attempt_phase phase, time_point now) {
  auto& placed = attempts_.at(task);
  if (!placed.reported_by_worker || placed.phase != phase) invalidate_view();
  placed.reported_by_worker = true;
  if (phase == attempt_phase::running && placed.phase != attempt_phase::running) {
    placed.running_since = now;
    gang_started_ = true;
  }
  placed.phase = phase;
}

void job::mark_stopping(std::uint32_t task, duration grace) {
  auto& placed = attempts_.at(task);
  placed.stopping = true;
  placed.grace = grace;
  invalidate_view();
}

void job::reset_gang_attempt() {
  invalidate_view();
  gang_started_ = false;
  gang_attempt_ = {};
  gang_wait_timeouts_ = 0;
}

void job::finish_task(std::uint32_t task) {
  remove_attempt(task);
  done_.insert(task);
  if (spec_.gang) {
    for (std::uint32_t member = 0; member < spec_.tasks; ++member) done_.insert(member);
  }
  failures_by_machine_.clear();
  backoff_rounds_ = 0;
}

failure_verdict job::record_failure(const machine_name& machine, time_point now,
                                    const failure_policy& policy) {
  ++failures_by_machine_[machine];
  last_failure_time_ = now;
  invalidate_view();
  if (failures_by_machine_.size() < policy.distinct_machines) {
    not_before_ = std::max(not_before_, now + policy.pause);
    return failure_verdict::undecided;
  }
  const auto doublings = std::min(backoff_rounds_, policy.doubling_limit);
  ++backoff_rounds_;
  back_off_until(now +
                 std::min<duration>(policy.first_backoff * (1 << doublings), policy.backoff_limit));
  failures_by_machine_.clear();
  return failure_verdict::job_at_fault;
}

void job::clear_failures() {
  failures_by_machine_.clear();
  invalidate_view();
}

void job::mark_changed(std::size_t unit) {
  invalidate_view();
  ++units_[unit].latest_change;
}

void job::link_attempt_to_latest_change(std::uint32_t task) {
  attempts_.at(task).change = units_[unit_of(task)].latest_change;
}

bool job::mark_in_placement_log(std::uint32_t task, std::uint64_t change) {
  const auto placed = attempts_.find(task);
  if (placed == attempts_.end() || placed->second.change != change) return false;
  placed->second.in_placement_log = true;
  return true;
}

void job::mark_stored(std::size_t unit, std::uint64_t change) {
  units_[unit].stored_change = std::max(units_[unit].stored_change, change);
}

void job::restore_change(std::size_t unit, std::uint64_t change) {
  units_[unit].latest_change = change;
  units_[unit].stored_change = change;
}

void job::restore_attempt(std::uint32_t task, const attempt& stored) {
  attempts_[task] = stored;
  gang_attempt_ = std::max(gang_attempt_, stored.number);
}

void job::restore_logged_attempt(std::uint32_t task, const attempt& logged) {
  restore_attempt(task, logged);
  record_unit& unit = units_[unit_of(task)];
  unit.next_attempt = std::max(unit.next_attempt, logged.number.next());
  unit.latest_change = std::max(unit.latest_change, logged.change);
}

void job::restore_end(const terminal_state& end) {
  status_ = end.status();
  mark_end_stored(end);
}

}  // namespace gingerdrift::job_store
