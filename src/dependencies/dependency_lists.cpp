#include "dependencies/dependency_lists.hpp"

#include <spdlog/spdlog.h>

#include "dependencies/retry_delay.hpp"

namespace gingerdrift::dependencies {

using job_store::job;

dependency_lists::dependency_lists(net::runtime& runtime, kvstore::client& store,
                                   job_store::job_table& jobs, complete_fn complete)
    : runtime_(runtime), store_(store), jobs_(jobs), complete_(std::move(complete)) {}

void dependency_lists::read(const job& job) {
  const job_id& id = job.spec().id;
  const bool is_new = readings_.try_emplace(id, list_reading{job.more_dependencies()}).second;
  if (is_new) read_next_part(id);
}

void dependency_lists::read_next_part(const job_id& id) {
  const auto& reading = readings_.at(id);
  store_.get_in_background(
      job_store::dependency_part_key(reading.parts, reading.next_part),
      guard_.wrap([this, id](const kvstore::result& answer) { part_read(id, answer); }));
}

void dependency_lists::part_read(const job_id& id, const kvstore::result& answer) {
  job* job = jobs_.find(id);
  if (job == nullptr || !job->waiting()) {
    readings_.erase(id);
    return;
  }
  if (!answer.has_entry()) return read_again_later(id);
  try {
    take_part(*job, answer.entries.front());
  } catch (const job_store::record_error& error) {
    spdlog::error("record_malformed kind=dependency_list key={} error=\"{}\"",
                  answer.entries.front().key, error.what());
    ++readings_.at(id).malformed;
    return read_again_later(id);
  }
  const auto& reading = readings_.at(id);
  if (reading.next_part < reading.parts.count) return read_next_part(id);
  readings_.erase(id);
  complete_(id);
}

/// Throws if the part is malformed, and then takes nothing of it.
void dependency_lists::take_part(job& job, const kvstore::entry& record) {
  job.append_dependencies(job_store::decode_dependency_part(record.value));
  auto& reading = readings_.at(job.spec().id);
  reading.malformed = 0;
  ++reading.next_part;
}

void dependency_lists::read_again_later(const job_id& id) {
  runtime_.after(retry_delay(readings_.at(id).malformed),
                 guard_.wrap([this, id] { read_next_part(id); }));
}

void dependency_lists::release(job& job) {
  if (job.more_dependencies().count == 0) return;
  const std::uint64_t next_change = job.head().latest_change + 1;
  released_[job.spec().id] = {.parts = job.release_dependency_parts(), .head_change = next_change};
}

void dependency_lists::job_stored(const job_id& id) {
  const auto released = released_.find(id);
  if (released == released_.end()) return;
  const job* job = jobs_.find(id);
  if (job != nullptr && job->head().stored_change < released->second.head_change) return;
  job_finalized(id);
}

void dependency_lists::job_finalized(const job_id& id) {
  const auto released = released_.find(id);
  if (released == released_.end()) return;
  erase_part(released->second.parts, 0);
  released_.erase(released);
}

/// What is left when this leader ends meanwhile does no harm: no record names it.
void dependency_lists::erase_part(const job_store::dependency_parts& parts, std::size_t index) {
  if (index == parts.count) return;
  const auto removal = kvstore::operation::remove(job_store::dependency_part_key(parts, index));
  store_.txn({}, {removal}, guard_.wrap([this, parts, index](const kvstore::result& answer) {
    if (answer.ok()) return erase_part(parts, index + 1);
    runtime_.after(retry_delay(0), guard_.wrap([this, parts, index] { erase_part(parts, index); }));
  }));
}

}  // namespace gingerdrift::dependencies
