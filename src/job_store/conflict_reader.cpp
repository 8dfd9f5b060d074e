#include "job_store/conflict_reader.hpp"

#include <spdlog/spdlog.h>

#include <optional>

#include "job_store/record_codec.hpp"
#include "job_store/record_keys.hpp"

namespace gingerdrift::job_store {

namespace {
/// Delay between two reads, and before a failed read is repeated.
constexpr duration read_interval = milliseconds(20);
/// Interval at which the lease is checked while it is not valid.
constexpr duration lease_check_interval = milliseconds(150);
}  // namespace

conflict_reader::conflict_reader(net::runtime& runtime, kvstore::client& store, callbacks owner)
    : runtime_(runtime), store_(store), owner_(std::move(owner)) {}

void conflict_reader::start(std::vector<std::string> keys) {
  remaining_keys_ = std::move(keys);
  read_next();
}

void conflict_reader::read_next() {
  if (remaining_keys_.empty()) return owner_.finished();
  // Without a valid lease this term writes nothing more unless the lease becomes valid again. Until
  // then there is nothing to repair, and a successor may be changing these keys.
  if (!owner_.may_read()) return schedule_next_read(lease_check_interval);
  const std::string key = remaining_keys_.back();
  if (const auto ended = job_of_final_key(key)) return read_final_record(*ended);
  read_key(key);
}

void conflict_reader::schedule_next_read(duration delay) {
  runtime_.after(delay, guard_.wrap([this] { read_next(); }));
}

void conflict_reader::read_key(const std::string& key) {
  store_.get(key, guard_.wrap([this, key](const kvstore::result& answer) {
    handle_key_result(key, answer);
  }));
}

void conflict_reader::handle_key_result(const std::string& key, const kvstore::result& answer) {
  const auto job = job_of_head_key(key);
  if (answer.not_found() && job) return read_final_record(*job);
  if (answer.has_entry()) {
    owner_.version_read(key, answer.entries.front().version);
  } else if (answer.not_found()) {
    owner_.version_read(key, store_revision());
  } else {
    return schedule_next_read(read_interval);
  }
  finish_key();
}

/// Reads the final record of a job. A head is replaced by its final record in one transaction, so
/// one of the two always exists.
void conflict_reader::read_final_record(const job_id& job) {
  store_.get(final_key(job), guard_.wrap([this, job](const kvstore::result& answer) {
    handle_final_record_result(job, answer);
  }));
}

void conflict_reader::handle_final_record_result(const job_id& job, const kvstore::result& answer) {
  const auto self = guard_.observe();
  if (answer.has_entry()) {
    report_final_record(job, answer.entries.front());
  } else if (answer.not_found()) {
    spdlog::error("record_missing key={}", head_key(job));
    owner_.version_read(head_key(job), store_revision());
  } else {
    return schedule_next_read(read_interval);
  }
  if (self.alive()) finish_key();
}

void conflict_reader::report_final_record(const job_id& job, const kvstore::entry& record) {
  std::optional<terminal_state> end;
  try {
    end = decode_final(record.value);
  } catch (const record_error& error) {
    spdlog::error("record_malformed kind=final key={} error=\"{}\"", record.key, error.what());
  }
  if (end) {
    owner_.final_state_read(job, *end);
  } else {
    owner_.final_record_malformed(job);
  }
}

void conflict_reader::finish_key() {
  remaining_keys_.pop_back();
  schedule_next_read(read_interval);
}

}  // namespace gingerdrift::job_store
