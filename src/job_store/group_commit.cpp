#include "job_store/group_commit.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace gingerdrift::job_store {

namespace {
/// Changes of a moment go into the same transaction.
constexpr duration group_delay = milliseconds(4);
/// Before the next try after a failure, or while the lease or the budget is missing.
constexpr duration retry_delay = milliseconds(150);
/// How often it is seen whether progress has waited long enough.
constexpr duration progress_check_interval = change_queue::progress_delay / 4;
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
                  .end_read = [this](const job_id& id,
                                     const terminal_state& end) { observer_.end_found(id, end); },
                  .unreadable = [this](const job_id& id) { observer_.end_unreadable(id); },
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
    changes_.add_progress(unit, runtime_.now());
    schedule(change_queue::progress_delay);
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
  if (!changes_.due(runtime_.now()) && !placements_.has_pending()) {
    if (!changes_.empty()) schedule(progress_check_interval);
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
      now, last_placements_);
  commit_batch batch = builder.build(leader_);
  if (batch.has_placements()) last_placements_ = now;
  for (const auto& id : builder.oversized_heads()) observer_.head_too_large(id);
  return batch;
}

void group_commit::send(commit_batch batch) {
  busy_ = true;
  note_end_writes(batch.units());
  const auto conditions = batch.conditions();
  const auto operations = batch.operations();
  store_.txn(conditions, operations,
             guard_.wrap([this, batch = std::move(batch)](const kvstore::result& answer) {
               answered(batch, answer);
             }));
}

void group_commit::answered(const commit_batch& batch, const kvstore::result& answer) {
  busy_ = false;
  if (!answer.ok()) return rejected(batch, answer);
  const commit_outcome outcome = acknowledge(batch, answer.revision);
  const auto self = guard_.observe();
  observer_.committed(outcome);
  if (self.alive()) schedule(group_delay);
}

/// From here on the ends it carries may be read, and told, by others before they are acknowledged.
void group_commit::note_end_writes(const std::vector<unit_write>& units) {
  for (const auto& write : units) {
    job* job = find_job(jobs_, write.unit.job);
    if (job == nullptr || !write.end) continue;
    const auto sent = write.kind == unit_write_kind::replacement_by_final
                          ? end_write::final_record_sent
                          : end_write::status_sent;
    job->note_end_write(sent);
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
  if (job == nullptr || !job->mark_logged(placement.task, placement.change)) return;
  outcome.changed.insert(placement.job);
}

void group_commit::acknowledge_unit(const unit_write& write, store_revision revision,
                                    commit_outcome& outcome) {
  job* job = find_job(jobs_, write.unit.job);
  if (job == nullptr) return;
  const std::size_t unit = write.unit.index;
  job->set_version(unit, write.kind == unit_write_kind::update ? revision : store_revision());
  job->mark_stored(unit, write.change);
  // What was written says it, not the status by now: an earlier change of the head may have been
  // under way when the job ended. A user was once told `done` by that, and `running` by a
  // successor.
  if (write.end) job->mark_end_stored(terminal_state(write.end->status, write.end->tasks_done));
  const bool finished = write.kind == unit_write_kind::replacement_by_final;
  // A large job's head was stored with the final status; its removal comes after its parts'.
  if (write.unit.is_head() && job->leaving() && !finished) {
    job->note_change(unit);
    queue(write.unit, write_urgency::urgent);
  }
  if (finished) outcome.finished.push_back({.id = write.unit.job, .end = *job->end()});
  outcome.changed.insert(write.unit.job);
}

void group_commit::rejected(const commit_batch& batch, const kvstore::result& answer) {
  requeue(batch.units());
  placements_.requeue();
  if (answer.conflict()) return resolve_conflict(answer.conflicting_keys);
  if (answer.too_large()) reduce_limits(batch);
  schedule(retry_delay);
}

/// What could not be written goes first the next time.
void group_commit::requeue(const std::vector<unit_write>& units) {
  for (const auto& write : units) {
    if (write.urgency == write_urgency::urgent) {
      changes_.put_back_urgent(write.unit);
    } else {
      changes_.put_back_progress(write.unit);
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

/// Placements that were logged, and whose jobs' records had not caught up when their leader ended.
/// In the order they were made: a later attempt of a task means that the earlier was proven gone.
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
  if (job->units()[placement.unit].stored >= placement.change) return;
  attempt attempt;
  attempt.number = placement.number;
  attempt.machine = placement.machine;
  attempt.incarnation = placement.incarnation;
  attempt.phase = attempt_phase::sent;  // an earlier leader may have sent it
  attempt.mutation = placement.change;
  attempt.logged = true;
  job->restore_logged_attempt(placement.task, attempt);
  queue({placement.job, placement.unit}, write_urgency::progress);
}

}  // namespace gingerdrift::job_store
