#include "job_store/batch_builder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::job_store {

namespace {

/// Minimum time between two writes of placements while writes are scarce.
constexpr duration min_placement_write_interval = milliseconds(150);
/// Maximum number of operations with which a job is finalized in one transaction.
constexpr std::size_t max_one_transaction_operations = 8;
/// Number of operations for the removal of the head and the put of the final record.
constexpr std::size_t head_and_final_operations = 2;

/// Returns the terminal status that a head or final record contains if it is encoded now; nothing
/// for an active job.
std::optional<unconfirmed_state> unconfirmed_state_of(const job& job) {
  if (job.active()) return std::nullopt;
  return unconfirmed_state{.status = job.status(), .tasks_done = job.done().count()};
}

}  // namespace

batch_builder::batch_builder(const sources& from, const write_allowance& allowance, time_point now,
                             time_point last_placement_write)
    : sources_(from),
      allowance_(allowance),
      now_(now),
      last_placement_write_(last_placement_write) {}

commit_batch batch_builder::build(kvstore::condition leader) {
  const auto max_operations = static_cast<double>(sources_.limits.operations());
  commit_batch batch(std::move(leader), std::min(max_operations, allowance_.writes_now));
  add_urgent(batch);
  add_placements(batch);
  add_deferrable(batch);
  return batch;
}

/// Adds final states and cancellations.
void batch_builder::add_urgent(commit_batch& batch) {
  std::vector<unit_id> blocked_units;
  while (!batch.full()) {
    const auto unit = sources_.changes.pop_urgent();
    if (!unit) break;
    const add_result result = add_unit(batch, *unit, write_urgency::urgent);
    if (result == add_result::blocked) blocked_units.push_back(*unit);
    if (result != add_result::batch_full) continue;
    sources_.changes.requeue_urgent(*unit);
    has_unwritten_urgent_ = true;
    break;
  }
  for (const auto& unit : blocked_units) sources_.changes.add_urgent(unit);
}

/// Adds placements. While writes are scarce, placements are collected for a short time: a write for
/// the few placements of each scheduling cycle would use up the writes that final states and
/// deferrable changes need. Workers don't wait for it, because they receive start commands only in
/// the answers to their heartbeats.
void batch_builder::add_placements(commit_batch& batch) {
  const bool scarce = batch.budget() < allowance_.writes_per_s / 2;
  const bool too_soon = scarce && now_ - last_placement_write_ < min_placement_write_interval;
  if (!batch.has_budget_for(1) || too_soon) return;
  const auto is_superseded = [this](const placement& placement) {
    const job* job = find_job(sources_.jobs, placement.job);
    return job == nullptr || job->units()[placement.unit].stored_change >= placement.change;
  };
  if (auto write = sources_.placements.prepare(is_superseded))
    batch.add_log_write(std::move(*write));
}

void batch_builder::add_deferrable(commit_batch& batch) {
  // The remaining budget is left for the final state or cancellation that did not fit.
  if (has_unwritten_urgent_) return;
  while (!batch.full() && batch.has_budget_for(1)) {
    const auto unit = sources_.changes.pop_due_deferrable(now_);
    if (!unit) return;
    const add_result result = add_unit(batch, *unit, write_urgency::deferrable);
    if (result == add_result::blocked) sources_.changes.add_urgent(*unit);
    if (result != add_result::batch_full) continue;
    sources_.changes.requeue_deferrable(*unit);
    return;
  }
}

/// Reports whether finalizing the job takes few enough operations for one transaction and for half
/// a second of the write rate.
bool batch_builder::can_finalize_in_one_transaction(const job& job) const {
  const std::size_t operations = job.stored_parts() + head_and_final_operations;
  if (operations == head_and_final_operations) return true;
  const auto affordable = static_cast<std::size_t>(allowance_.writes_per_s / 2);
  const std::size_t max_operations = sources_.limits.operations();
  return operations <= std::min({max_one_transaction_operations, affordable, max_operations});
}

batch_builder::add_result batch_builder::add_unit(commit_batch& batch, const unit_id& unit,
                                                  write_urgency urgency) {
  job* job = find_job(sources_.jobs, unit.job);
  if (job == nullptr || !job->units()[unit.index].dirty()) return add_result::unchanged;
  if (!job->is_finalizing()) return add_update(batch, *job, unit, urgency);
  if (unit.is_head()) return add_finalizing_head(batch, *job, urgency);
  return add_finalizing_part(batch, *job, unit, urgency);
}

/// Adds the head of a job that is being finalized. If the job has too many parts for one
/// transaction, the head with the final status is stored first, and the parts are removed after
/// that. A successor that found the head without the parts would otherwise treat the tasks as not
/// started.
batch_builder::add_result batch_builder::add_finalizing_head(commit_batch& batch, job& job,
                                                             write_urgency urgency) {
  if (can_finalize_in_one_transaction(job)) return add_final_record(batch, job, urgency);
  if (!job.stored_terminal_state()) return add_update(batch, job, {job.spec().id, 0}, urgency);
  for (std::size_t part = 1; part < job.units().size(); ++part) {
    if (job.units()[part].version.exists()) sources_.changes.add_urgent({job.spec().id, part});
  }
  return add_result::blocked;
}

batch_builder::add_result batch_builder::add_finalizing_part(commit_batch& batch, const job& job,
                                                             const unit_id& unit,
                                                             write_urgency urgency) {
  // The part is removed together with the head.
  if (can_finalize_in_one_transaction(job)) return add_result::unchanged;
  if (!job.stored_terminal_state()) return add_result::blocked;
  if (!batch.has_budget_for(1)) return add_result::batch_full;
  const auto& state = job.units()[unit.index];
  const std::string key = unit_key(unit);
  batch.require_version(key, state.version);
  batch.remove(key);
  batch.add_unit({.unit = unit,
                  .change = state.latest_change,
                  .kind = unit_write_kind::removal,
                  .urgency = urgency,
                  .written_state = std::nullopt});
  return add_result::added;
}

batch_builder::add_result batch_builder::add_update(commit_batch& batch, const job& job,
                                                    const unit_id& unit, write_urgency urgency) {
  if (!batch.has_budget_for(1)) return add_result::batch_full;
  const add_result result = add_value(batch, job, unit);
  if (result != add_result::added) return result;
  const auto& state = job.units()[unit.index];
  batch.require_version(unit_key(unit), state.version);
  // Only a submission creates a head. A head that was written for an ended job would bring that job
  // back.
  if (unit.is_head() && !state.version.exists()) batch.require_absent(final_key(unit.job));
  batch.add_unit({.unit = unit,
                  .change = state.latest_change,
                  .kind = unit_write_kind::update,
                  .urgency = urgency,
                  .written_state = unit.is_head() ? unconfirmed_state_of(job) : std::nullopt});
  return add_result::added;
}

batch_builder::add_result batch_builder::add_final_record(commit_batch& batch, const job& job,
                                                          write_urgency urgency) {
  const job_id& id = job.spec().id;
  if (!batch.has_budget_for(static_cast<double>(job.stored_parts() + head_and_final_operations)))
    return add_result::batch_full;
  for (std::size_t index = 0; index < job.units().size(); ++index) {
    const auto& state = job.units()[index];
    const unit_id unit{id, index};
    if (!unit.is_head() && !state.version.exists()) continue;
    batch.require_version(unit_key(unit), state.version);
    batch.remove(unit_key(unit));
    batch.add_unit(
        {.unit = unit,
         .change = state.latest_change,
         .kind = unit.is_head() ? unit_write_kind::replacement_by_final : unit_write_kind::removal,
         .urgency = urgency,
         .written_state = unit.is_head() ? unconfirmed_state_of(job) : std::nullopt});
  }
  batch.require_absent(final_key(id));
  batch.put(final_key(id), encode_final(job));
  return add_result::added;
}

/// Adds the record of a unit if it is small enough. A record that an earlier version wrote under
/// larger limits may be too large to be written again. It has to wait until enough of its tasks
/// have ended. A successor loses nothing by that: workers keep the ends of tasks until they are
/// stored, and the starts are in the placement log. The final record is always small.
batch_builder::add_result batch_builder::add_value(commit_batch& batch, const job& job,
                                                   const unit_id& unit) {
  kvstore::json value = unit.is_head() ? encode_head(job) : encode_part(job, unit.index);
  const std::size_t bytes = value.dump().size();
  if (bytes > sources_.limits.value_bytes()) {
    spdlog::debug("record_too_large job={} unit={} bytes={}", unit.job, unit.index, bytes);
    sources_.changes.add_deferrable(unit, now_);
    if (unit.is_head()) oversized_heads_.push_back(unit.job);
    return add_result::too_large;
  }
  if (!batch.fits(bytes)) return add_result::batch_full;
  batch.put_record(unit_key(unit), std::move(value), bytes);
  return add_result::added;
}

}  // namespace gingerdrift::job_store
