#include "dependencies/dependency_lists.hpp"

#include <spdlog/spdlog.h>

#include "dependencies/retry_delay.hpp"

namespace gingerdrift::dependencies {

using job_store::job;

dependency_lists::dependency_lists(net::runtime& runtime, kvstore::client& store,
                                   job_store::job_table& jobs, read_complete_fn on_read_complete)
    : runtime_(runtime),
      store_(store),
      jobs_(jobs),
      on_read_complete_(std::move(on_read_complete)) {}

void dependency_lists::read(const job& job) {
  const job_id& id = job.spec().id;
  const bool is_new = pending_reads_.try_emplace(id, pending_read{job.more_dependencies()}).second;
  if (is_new) read_next_part(id);
}

void dependency_lists::read_next_part(const job_id& id) {
  const auto& pending = pending_reads_.at(id);
  store_.get_in_background(
      job_store::dependency_part_key(pending.parts, pending.next_part),
      guard_.wrap([this, id](const kvstore::result& result) { handle_part(id, result); }));
}

void dependency_lists::handle_part(const job_id& id, const kvstore::result& result) {
  job* job = jobs_.find(id);
  if (job == nullptr || !job->waiting()) {
    pending_reads_.erase(id);
    return;
  }
  if (!result.has_entry()) return schedule_retry(id);
  try {
    append_part(*job, result.entries.front());
  } catch (const job_store::record_error& error) {
    spdlog::error("record_malformed kind=dependency_list key={} error=\"{}\"",
                  result.entries.front().key, error.what());
    ++pending_reads_.at(id).malformed_reads;
    return schedule_retry(id);
  }
  const auto& pending = pending_reads_.at(id);
  if (pending.next_part < pending.parts.count) return read_next_part(id);
  pending_reads_.erase(id);
  on_read_complete_(id);
}

/// Appends a part's dependencies to the job's. Throws record_error if the part is malformed; the
/// job is unchanged then.
void dependency_lists::append_part(job& job, const kvstore::entry& record) {
  job.append_dependencies(job_store::decode_dependency_part(record.value));
  auto& pending = pending_reads_.at(job.spec().id);
  pending.malformed_reads = 0;
  ++pending.next_part;
}

void dependency_lists::schedule_retry(const job_id& id) {
  runtime_.after(retry_delay(pending_reads_.at(id).malformed_reads),
                 guard_.wrap([this, id] { read_next_part(id); }));
}

void dependency_lists::release(job& job) {
  if (job.more_dependencies().count == 0) return;
  const std::uint64_t releasing_change = job.head().latest_change + 1;
  released_[job.spec().id] = {.parts = job.release_dependency_parts(),
                              .releasing_change = releasing_change};
}

void dependency_lists::job_stored(const job_id& id) {
  const auto released = released_.find(id);
  if (released == released_.end()) return;
  const job* job = jobs_.find(id);
  if (job != nullptr && job->head().stored_change < released->second.releasing_change) return;
  job_finalized(id);
}

void dependency_lists::job_finalized(const job_id& id) {
  const auto released = released_.find(id);
  if (released == released_.end()) return;
  delete_parts_from(released->second.parts, 0);
  released_.erase(released);
}

/// Deletes the parts one after the other, from `first_part` on. If this leader's term ends before
/// that is complete, the remaining parts are harmless: no record refers to them.
void dependency_lists::delete_parts_from(const job_store::dependency_parts& parts,
                                         std::size_t first_part) {
  if (first_part == parts.count) return;
  const auto removal =
      kvstore::operation::remove(job_store::dependency_part_key(parts, first_part));
  store_.txn({}, {removal}, guard_.wrap([this, parts, first_part](const kvstore::result& result) {
    if (result.ok()) return delete_parts_from(parts, first_part + 1);
    runtime_.after(retry_delay(0), guard_.wrap([this, parts, first_part] {
      delete_parts_from(parts, first_part);
    }));
  }));
}

}  // namespace gingerdrift::dependencies
