#include "job_store/batch_builder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::job_store {

namespace {

/// Where writes are scarce, placements are written at most this often.
constexpr duration placement_spacing = milliseconds(150);
/// A job ends in one transaction if that takes no more operations.
constexpr std::size_t most_final_operations = 8;
/// The head's removal and the final record.
constexpr std::size_t head_and_final = 2;

/// What a head or final record written now says of the job's end.
std::optional<unconfirmed_end> end_as_written(const job& job) {
  if (job.active()) return std::nullopt;
  return unconfirmed_end{.status = job.status(), .tasks_done = job.done().count()};
}

}  // namespace

batch_builder::batch_builder(const sources& from, const write_allowance& allowance, time_point now,
                             time_point last_placements)
    : from_(from), allowance_(allowance), now_(now), last_placements_(last_placements) {}

commit_batch batch_builder::build(kvstore::condition leader) {
  const auto most_operations = static_cast<double>(from_.limits.operations());
  commit_batch batch(std::move(leader), std::min(most_operations, allowance_.writes_now));
  add_urgent(batch);
  add_placements(batch);
  add_progress(batch);
  return batch;
}

/// Final states and cancellations.
void batch_builder::add_urgent(commit_batch& batch) {
  std::vector<unit_id> deferred;
  while (!batch.full()) {
    const auto unit = from_.changes.next_urgent();
    if (!unit) break;
    const add_result result = add_unit(batch, *unit, write_urgency::urgent);
    if (result == add_result::deferred) deferred.push_back(*unit);
    if (result != add_result::no_room) continue;
    from_.changes.put_back_urgent(*unit);
    urgent_left_ = true;
    break;
  }
  for (const auto& unit : deferred) from_.changes.add_urgent(unit);
}

/// Where writes are scarce, placements are collected for a moment: a write for the few of each
/// scheduling cycle would use up what final states and progress need, and workers hear of them with
/// their heartbeats only.
void batch_builder::add_placements(commit_batch& batch) {
  const bool scarce = batch.budget() < allowance_.writes_per_s / 2;
  const bool too_soon = scarce && now_ - last_placements_ < placement_spacing;
  if (!batch.affords(1) || too_soon) return;
  const auto absorbed = [this](const placement& placement) {
    const job* job = find_job(from_.jobs, placement.job);
    return job == nullptr || job->units()[placement.unit].stored_change >= placement.change;
  };
  if (auto write = from_.placements.prepare(absorbed)) batch.add_log_write(std::move(*write));
}

void batch_builder::add_progress(commit_batch& batch) {
  // What it would take now is needed by a final state that did not fit.
  if (urgent_left_) return;
  while (!batch.full() && batch.affords(1)) {
    const auto unit = from_.changes.next_progress(now_);
    if (!unit) return;
    const add_result result = add_unit(batch, *unit, write_urgency::deferrable);
    if (result == add_result::deferred) from_.changes.add_urgent(*unit);
    if (result != add_result::no_room) continue;
    from_.changes.put_back_progress(*unit);
    return;
  }
}

/// Few enough operations for a transaction, and for a moment's budget.
bool batch_builder::ends_in_one_step(const job& job) const {
  const std::size_t operations = job.stored_parts() + head_and_final;
  if (operations == head_and_final) return true;
  const auto affordable = static_cast<std::size_t>(allowance_.writes_per_s / 2);
  const std::size_t most_operations = from_.limits.operations();
  return operations <= std::min({most_final_operations, affordable, most_operations});
}

batch_builder::add_result batch_builder::add_unit(commit_batch& batch, const unit_id& unit,
                                                  write_urgency urgency) {
  job* job = find_job(from_.jobs, unit.job);
  if (job == nullptr || !job->units()[unit.index].dirty()) return add_result::unchanged;
  if (!job->is_finalizing()) return add_update(batch, *job, unit, urgency);
  if (unit.is_head()) return add_head_of_ended(batch, *job, urgency);
  return add_part_of_ended(batch, *job, unit, urgency);
}

/// Of a very large job the parts go first, and only once the final status is stored: a successor
/// that finds the head without them must not take the tasks for unstarted.
batch_builder::add_result batch_builder::add_head_of_ended(commit_batch& batch, job& job,
                                                           write_urgency urgency) {
  if (ends_in_one_step(job)) return add_final(batch, job, urgency);
  if (!job.stored_terminal_state()) return add_update(batch, job, {job.spec().id, 0}, urgency);
  for (std::size_t part = 1; part < job.units().size(); ++part) {
    if (job.units()[part].version.exists()) from_.changes.add_urgent({job.spec().id, part});
  }
  return add_result::deferred;
}

batch_builder::add_result batch_builder::add_part_of_ended(commit_batch& batch, const job& job,
                                                           const unit_id& unit,
                                                           write_urgency urgency) {
  // It goes together with the head.
  if (ends_in_one_step(job)) return add_result::unchanged;
  if (!job.stored_terminal_state()) return add_result::deferred;
  if (!batch.affords(1)) return add_result::no_room;
  const auto& state = job.units()[unit.index];
  const std::string key = unit_key(unit);
  batch.expect(key, state.version);
  batch.remove(key);
  batch.add_unit({.unit = unit,
                  .change = state.latest_change,
                  .kind = unit_write_kind::removal,
                  .urgency = urgency,
                  .end = std::nullopt});
  return add_result::added;
}

batch_builder::add_result batch_builder::add_update(commit_batch& batch, const job& job,
                                                    const unit_id& unit, write_urgency urgency) {
  if (!batch.affords(1)) return add_result::no_room;
  const add_result result = add_value(batch, job, unit);
  if (result != add_result::added) return result;
  const auto& state = job.units()[unit.index];
  batch.expect(unit_key(unit), state.version);
  // Only a submission makes a head. Were one written for a job that is over, it would be back.
  if (unit.is_head() && !state.version.exists()) batch.expect_absent(final_key(unit.job));
  batch.add_unit({.unit = unit,
                  .change = state.latest_change,
                  .kind = unit_write_kind::update,
                  .urgency = urgency,
                  .end = unit.is_head() ? end_as_written(job) : std::nullopt});
  return add_result::added;
}

batch_builder::add_result batch_builder::add_final(commit_batch& batch, const job& job,
                                                   write_urgency urgency) {
  const job_id& id = job.spec().id;
  if (!batch.affords(static_cast<double>(job.stored_parts() + head_and_final)))
    return add_result::no_room;
  for (std::size_t index = 0; index < job.units().size(); ++index) {
    const auto& state = job.units()[index];
    const unit_id unit{id, index};
    if (!unit.is_head() && !state.version.exists()) continue;
    batch.expect(unit_key(unit), state.version);
    batch.remove(unit_key(unit));
    batch.add_unit(
        {.unit = unit,
         .change = state.latest_change,
         .kind = unit.is_head() ? unit_write_kind::replacement_by_final : unit_write_kind::removal,
         .urgency = urgency,
         .end = unit.is_head() ? end_as_written(job) : std::nullopt});
  }
  batch.expect_absent(final_key(id));
  batch.put(final_key(id), encode_final(job));
  return add_result::added;
}

/// A record that an earlier version wrote under wider limits may be too large to be written again.
/// It waits until enough of its tasks have ended: their ends stay with their workers until they are
/// stored, and its starts are in the log, so that a successor misses nothing. Its final record is
/// always small.
batch_builder::add_result batch_builder::add_value(commit_batch& batch, const job& job,
                                                   const unit_id& unit) {
  kvstore::json value = unit.is_head() ? encode_head(job) : encode_part(job, unit.index);
  const std::size_t bytes = value.dump().size();
  if (bytes > from_.limits.value_bytes()) {
    spdlog::debug("record_too_large job={} unit={} bytes={}", unit.job, unit.index, bytes);
    from_.changes.add_progress(unit, now_);
    if (unit.is_head()) oversized_heads_.push_back(unit.job);
    return add_result::too_large;
  }
  if (!batch.fits(bytes)) return add_result::no_room;
  batch.put_record(unit_key(unit), std::move(value), bytes);
  return add_result::added;
}

}  // namespace gingerdrift::job_store
