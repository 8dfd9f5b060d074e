#include "dependencies/progress_lookup.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dependencies/retry_delay.hpp"
#include "store/job.hpp"

namespace gingerdrift::dependencies {

namespace {
/// As many records as one page brings.
constexpr std::size_t batch_size = 200;

/// A key before that job's final record and behind that of every job with a smaller name.
std::string key_before(const std::string& job) {
  constexpr char behind_all_digits = '~';
  std::string key = store::final_key(job);
  --key.back();
  return key + behind_all_digits;
}
}  // namespace

progress_lookup::progress_lookup(net::runtime& runtime, store::client& store, hooks events)
    : runtime_(runtime), store_(store), events_(std::move(events)) {}

progress_lookup::~progress_lookup() { *alive_ = false; }

void progress_lookup::add(const std::string& job) {
  if (pending_.insert(job).second) queue_.push_back(job);
}

void progress_lookup::start() {
  if (reading_) return;
  reading_ = true;
  auto names = std::make_shared<batch>();
  while (!queue_.empty() && names->size() < batch_size) {
    const std::string job = std::move(queue_.front());
    queue_.pop_front();
    if (events_.settled(job)) {
      finish(job);
    } else {
      names->push_back(job);
    }
  }
  if (names->empty()) {
    reading_ = false;
    return;
  }
  std::sort(names->begin(), names->end());
  read_finals(names, 0);
}

void progress_lookup::read_finals(const std::shared_ptr<batch>& names, std::size_t next) {
  if (next == names->size()) {
    reading_ = false;
    start();
    return;
  }
  const std::size_t left = names->size() - next;
  store_.list_in_background(store::final_prefix, key_before((*names)[next]), left,
                            [this, names, next, alive = alive_](const store::result& page) {
                              if (*alive) finals_read(names, next, page);
                            });
}

/// A page shows every final record up to its last key, and all there are if it is the last page.
void progress_lookup::finals_read(const std::shared_ptr<batch>& names, std::size_t next,
                                  const store::result& page) {
  if (!page.ok()) {
    for (; next < names->size(); ++next) try_later((*names)[next]);
    return read_finals(names, next);
  }
  std::map<std::string, const store::entry*> records;
  for (const auto& entry : page.entries) records[entry.key] = &entry;
  const bool complete = !page.more || page.entries.empty();
  for (; next < names->size(); ++next) {
    const std::string& job = (*names)[next];
    const std::string key = store::final_key(job);
    if (!complete && key > page.entries.back().key) break;
    const auto record = records.find(key);
    if (record == records.end()) {
      read_head(job);
    } else {
      final_found(job, *record->second);
    }
  }
  read_finals(names, next);
}

void progress_lookup::final_found(const std::string& job, const store::entry& record) {
  const auto end = store::read_final(record.value);
  if (!end) {
    spdlog::error("final record is malformed key={}", record.key);
    ++malformed_[job];
    return try_later(job);
  }
  finish(job);
  events_.ended(job, *end);
}

/// Records move from head to final, so that a job without either has moved between the readings.
void progress_lookup::read_head(const std::string& job) {
  store_.get_in_background(store::head_key(job),
                           [this, job, alive = alive_](const store::result& found) {
                             if (!*alive) return;
                             if (!found.ok() || found.entries.empty()) return try_later(job);
                             if (events_.found_head(found.entries.front(), found.sent))
                               return finish(job);
                             ++malformed_[job];
                             try_later(job);
                           });
}

void progress_lookup::try_later(const std::string& job) {
  const auto times = malformed_.find(job);
  const std::uint32_t malformed = times == malformed_.end() ? 0 : times->second;
  runtime_.after(retry_delay(malformed), [this, job, alive = alive_] {
    if (!*alive) return;
    queue_.push_back(job);
    start();
  });
}

void progress_lookup::finish(const std::string& job) {
  pending_.erase(job);
  malformed_.erase(job);
}

}  // namespace gingerdrift::dependencies
