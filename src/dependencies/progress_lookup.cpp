#include "dependencies/progress_lookup.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

#include "dependencies/retry_delay.hpp"
#include "job_store/record_codec.hpp"
#include "job_store/record_keys.hpp"

namespace gingerdrift::dependencies {

namespace {
/// The number of records that one page holds.
constexpr std::size_t batch_size = 200;

/// Returns a key that sorts before the job's final record and after those of all jobs with smaller
/// ids, so that a page that starts after it begins with the job's record, if any.
std::string list_start_key(const job_id& job) {
  constexpr char after_all_digits = '~';
  std::string key = job_store::final_key(job);
  --key.back();
  return key + after_all_digits;
}
}  // namespace

progress_lookup::progress_lookup(net::runtime& runtime, kvstore::client& store,
                                 callbacks owner_callbacks)
    : runtime_(runtime), store_(store), callbacks_(std::move(owner_callbacks)) {}

void progress_lookup::add(const job_id& job) {
  if (pending_.insert(job).second) queue_.push_back(job);
}

void progress_lookup::start() {
  if (batch_in_progress_) return;
  batch_in_progress_ = true;
  auto ids = std::make_shared<batch>();
  while (!queue_.empty() && ids->size() < batch_size) {
    const job_id job = std::move(queue_.front());
    queue_.pop_front();
    if (callbacks_.resolve(job)) {
      mark_resolved(job);
    } else {
      ids->push_back(job);
    }
  }
  if (ids->empty()) {
    batch_in_progress_ = false;
    return;
  }
  std::sort(ids->begin(), ids->end());
  read_final_records(ids, 0);
}

void progress_lookup::read_final_records(const std::shared_ptr<batch>& ids, std::size_t next) {
  if (next == ids->size()) {
    batch_in_progress_ = false;
    start();
    return;
  }
  const std::size_t remaining = ids->size() - next;
  store_.list_in_background(job_store::final_prefix, list_start_key((*ids)[next]), remaining,
                            guard_.wrap([this, ids, next](const kvstore::result& page) {
                              handle_final_records(ids, next, page);
                            }));
}

/// Resolves the jobs that the page covers, and reads the next page for the rest. A page contains
/// every final record up to its last key; the last page covers all remaining keys. A job in this
/// range without a final record has to have a head record.
void progress_lookup::handle_final_records(const std::shared_ptr<batch>& ids, std::size_t next,
                                           const kvstore::result& page) {
  if (!page.ok()) {
    for (; next < ids->size(); ++next) retry_later((*ids)[next]);
    return read_final_records(ids, next);
  }
  std::map<std::string, const kvstore::entry*> records;
  for (const auto& entry : page.entries) records[entry.key] = &entry;
  const bool covers_all_keys = !page.more || page.entries.empty();
  for (; next < ids->size(); ++next) {
    const job_id& job = (*ids)[next];
    const std::string key = job_store::final_key(job);
    if (!covers_all_keys && key > page.entries.back().key) break;
    const auto record = records.find(key);
    if (record == records.end()) {
      read_head(job);
    } else {
      apply_final_record(job, *record->second);
    }
  }
  read_final_records(ids, next);
}

void progress_lookup::apply_final_record(const job_id& job, const kvstore::entry& record) {
  std::optional<job_store::terminal_state> end;
  try {
    end = job_store::decode_final(record.value);
  } catch (const job_store::record_error& error) {
    spdlog::error("record_malformed kind=final key={} error=\"{}\"", record.key, error.what());
    return retry_malformed(job);
  }
  mark_resolved(job);
  callbacks_.job_ended(job, *end);
}

void progress_lookup::read_head(const job_id& job) {
  store_.get_in_background(
      job_store::head_key(job),
      guard_.wrap([this, job](const kvstore::result& result) { handle_head(job, result); }));
}

/// A job's record moves from the head key to the final key. If neither key was found, the job ended
/// between the two reads, and its final record has to be read again.
void progress_lookup::handle_head(const job_id& job, const kvstore::result& result) {
  if (!result.has_entry()) return retry_later(job);
  if (callbacks_.load_head(result.entries.front(), result.sent)) return mark_resolved(job);
  retry_malformed(job);
}

void progress_lookup::retry_malformed(const job_id& job) {
  ++malformed_reads_[job];
  retry_later(job);
}

void progress_lookup::retry_later(const job_id& job) {
  const auto entry = malformed_reads_.find(job);
  const std::uint32_t malformed_reads = entry == malformed_reads_.end() ? 0 : entry->second;
  runtime_.after(retry_delay(malformed_reads), guard_.wrap([this, job] {
    queue_.push_back(job);
    start();
  }));
}

void progress_lookup::mark_resolved(const job_id& job) {
  pending_.erase(job);
  malformed_reads_.erase(job);
}

}  // namespace gingerdrift::dependencies
