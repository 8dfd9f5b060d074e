#include "job_store/group_commit.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace gingerdrift::job_store {

namespace {
/// Time for which changes are collected for the same transaction.
constexpr duration group_delay = milliseconds(4);
/// Delay before the next attempt after a failure, or while there is no valid lease or no write
/// budget.
constexpr duration retry_delay = milliseconds(150);
/// Interval at which the queue is checked for deferrable changes that have waited long enough.
constexpr duration deferrable_check_interval = change_queue::deferrable_delay / 4;
}  // namespace

group_commit::group_commit(net::runtime& runtime, kvstore::client& store, kvstore::condition leader,
                           const kvstore::service_limits& sizes, job_map& jobs,
                           commit_observer& observer)
    : runtime_(runtime),
      store_(store),
      leader_(std::move(leader)),
      limits_(sizes),
      jobs_(jobs),
      observer_(observer),
      placements_(limits_.value_bytes()),
      conflicts_(runtime, store,
                 {.may_read = [this] { return observer_.may_write(); },
                  .version_read = [this](const std::string& key,
                                         store_revision version) { set_version(key, version); },
                  .final_state_read =
                      [this](const job_id& id, const terminal_state& end) {
                        observer_.final_state_found(id, end);
                      },
                  .final_record_malformed =
                      [this](const job_id& id) { observer_.final_record_malformed(id); },
                  .finished =
                      [this] {
                        busy_ = false;
                        schedule(group_delay);
                      }}),
      flush_timer_(runtime) {}

void group_commit::queue(const unit_id& unit, write_urgency urgency) {
  if (urgency == write_urgency::urgent) {
    changes_.add_urgent(unit);
    schedule(group_delay);
  } else {
    changes_.add_deferrable(unit, runtime_.now());
    schedule(change_queue::deferrable_delay);
  }
}

void group_commit::add_placement(placement placement) {
  placements_.add(std::move(placement));
  schedule(group_delay);
}

void group_commit::schedule(duration delay) {
  if (busy_) return;
  const time_point when = runtime_.now() + delay;
  if (flush_timer_.armed() && flush_at_ <= when) return;
  flush_at_ = when;
  flush_timer_.start(delay, [this] { flush(); });
}

void group_commit::flush() {
  if (busy_) return;
  if (!changes_.has_due_changes(runtime_.now()) && !placements_.has_pending()) {
    if (!changes_.empty()) schedule(deferrable_check_interval);
    return;
  }
  if (!observer_.may_write()) return schedule(retry_delay);
  commit_batch batch = build_batch();
  if (!batch.empty()) return send(std::move(batch));
  if (!changes_.empty() || placements_.has_pending()) schedule(retry_delay);
}

commit_batch group_commit::build_batch() {
  const write_allowance allowance{.writes_now = store_.writes_for_records(),
                                  .writes_per_s = store_.write_rate()};
  const time_point now = runtime_.now();
  batch_builder builder(
      {.jobs = jobs_, .changes = changes_, .placements = placements_, .limits = limits_}, allowance,
      now, last_placement_write_);
  commit_batch batch = builder.build(leader_);
  if (batch.has_placements()) last_placement_write_ = now;
  for (const auto& id : builder.oversized_heads()) observer_.head_too_large(id);
  return batch;
}

void group_commit::send(commit_batch batch) {
  busy_ = true;
  mark_end_writes_sent(batch.units());
  const auto conditions = batch.conditions();
  const auto operations = batch.operations();
  store_.txn(conditions, operations,
             guard_.wrap([this, batch = std::move(batch)](const kvstore::result& answer) {
               handle_result(batch, answer);
             }));
}

void group_commit::handle_result(const commit_batch& batch, const kvstore::result& answer) {
  busy_ = false;
  if (!answer.ok()) return handle_failure(batch, answer);
  const commit_outcome outcome = acknowledge(batch, answer.revision);
  const auto self = guard_.observe();
  observer_.committed(outcome);
  if (self.alive()) schedule(group_delay);
}

/// Records the terminal states that a transaction contains. Once it is sent, other controllers may
/// read and report them before they are acknowledged here.
void group_commit::mark_end_writes_sent(const std::vector<unit_write>& units) {
  for (const auto& write : units) {
    job* job = find_job(jobs_, write.unit.job);
    if (job == nullptr || !write.written_state) continue;
    const auto sent = write.kind == unit_write_kind::replacement_by_final
                          ? end_write::final_record_sent
                          : end_write::status_sent;
    job->mark_end_write_sent(sent);
  }
}

commit_outcome group_commit::acknowledge(const commit_batch& batch, store_revision revision) {
  commit_outcome outcome;
  for (const auto& placement : placements_.acknowledge(revision))
    acknowledge_placement(placement, outcome);
  for (const auto& write : batch.units()) acknowledge_unit(write, revision, outcome);
  return outcome;
}

void group_commit::acknowledge_placement(const placement& placement, commit_outcome& outcome) {
  job* job = find_job(jobs_, placement.job);
  if (job == nullptr || !job->mark_in_placement_log(placement.task, placement.change)) return;
  outcome.changed.insert(placement.job);
}

void group_commit::acknowledge_unit(const unit_write& write, store_revision revision,
                                    commit_outcome& outcome) {
  job* job = find_job(jobs_, write.unit.job);
  if (job == nullptr) return;
  const std::size_t unit = write.unit.index;
  job->set_version(unit, write.kind == unit_write_kind::update ? revision : store_revision());
  job->mark_stored(unit, write.change);
  // The terminal state is taken from the written record, not from the job's current status, because
  // an earlier change of the head may have been in flight when the job ended. The current status
  // once led to `done` being reported to a user, and `running` by a successor afterwards.
  if (write.written_state)
    job->mark_end_stored(
        terminal_state(write.written_state->status, write.written_state->tasks_done));
  const bool finished = write.kind == unit_write_kind::replacement_by_final;
  // The head of a large job was stored with the final status. Its removal follows that of its
  // parts.
  if (write.unit.is_head() && job->is_finalizing() && !finished) {
    job->mark_changed(unit);
    queue(write.unit, write_urgency::urgent);
  }
  if (finished)
    outcome.finished.push_back({.id = write.unit.job, .state = *job->stored_terminal_state()});
  outcome.changed.insert(write.unit.job);
}

void group_commit::handle_failure(const commit_batch& batch, const kvstore::result& answer) {
  requeue(batch.units());
  placements_.requeue();
  if (answer.conflict()) return resolve_conflict(answer.conflicting_keys);
  if (answer.too_large()) reduce_limits(batch);
  schedule(retry_delay);
}

/// Puts the units of a failed transaction back at the front of the queue.
void group_commit::requeue(const std::vector<unit_write>& units) {
  for (const auto& write : units) {
    if (write.urgency == write_urgency::urgent) {
      changes_.requeue_urgent(write.unit);
    } else {
      changes_.requeue_deferrable(write.unit);
    }
  }
}

void group_commit::resolve_conflict(const std::vector<std::string>& keys) {
  const bool deposed = std::find(keys.begin(), keys.end(), leader_.key) != keys.end();
  if (deposed) return observer_.leadership_lost();
  if (keys.empty()) return schedule(retry_delay);
  busy_ = true;
  conflicts_.start(keys);
}

void group_commit::reduce_limits(const commit_batch& batch) {
  limits_.reduce(batch.operations().size(),
                 std::max(batch.largest_value_bytes(), placements_.prepared_bytes()));
  placements_.set_value_bytes(limits_.value_bytes());
  spdlog::info("store_transaction_too_large operations={} value_bytes={}", limits_.operations(),
               limits_.value_bytes());
}

void group_commit::set_version(const std::string& key, store_revision version) {
  if (is_log_key(key)) return placements_.set_version(key, version);
  const auto unit = unit_of_key(key);
  if (!unit) return;
  job* job = find_job(jobs_, unit->job);
  if (job != nullptr && unit->index < job->units().size()) job->set_version(unit->index, version);
}

/// Restores placements that were logged but not yet in the records of their jobs when the term of
/// the earlier leader ended. They are applied in the order in which they were made, because a later
/// attempt at a task implies that the earlier one was proven gone.
void group_commit::load_placements(const std::vector<kvstore::entry>& log_entries) {
  std::vector<placement> placements;
  for (const auto& entry : log_entries) {
    try {
      for (auto& placement : placements_.load(entry)) placements.push_back(std::move(placement));
    } catch (const record_error& error) {
      spdlog::error("record_malformed kind=placement_log key={} error=\"{}\"", entry.key,
                    error.what());
    }
  }
  std::stable_sort(
      placements.begin(), placements.end(),
      [](const placement& left, const placement& right) { return left.change < right.change; });
  for (const auto& placement : placements) restore_placement(placement);
}

void group_commit::restore_placement(const placement& placement) {
  job* job = find_job(jobs_, placement.job);
  if (job == nullptr || placement.task >= job->spec().tasks) return;
  if (job->unit_of(placement.task) != placement.unit) return;
  if (job->units()[placement.unit].stored_change >= placement.change) return;
  attempt attempt;
  attempt.number = placement.number;
  attempt.machine = placement.machine;
  attempt.incarnation = placement.incarnation;
  attempt.phase = attempt_phase::sent;  // an earlier leader may have sent the start command
  attempt.change = placement.change;
  attempt.in_placement_log = true;
  job->restore_logged_attempt(placement.task, attempt);
  queue({placement.job, placement.unit}, write_urgency::deferrable);
}

}  // namespace gingerdrift::job_store
