#include "store/job_book.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::store {

namespace {
constexpr auto group_delay = milliseconds(4);
constexpr auto retry_delay = milliseconds(150);
/// More than can end while a reading of the store is under way.
constexpr std::size_t most_ended = 8192;
}  // namespace

job_book::job_book(net::runtime& runtime, client& store, condition leader,
                   const service_limits& sizes, hooks events)
    : runtime_(runtime),
      store_(store),
      leader_(std::move(leader)),
      txn_operations_(sizes.txn_operations),
      value_bytes_(planned_value_bytes(sizes)),
      events_(std::move(events)),
      log_(value_bytes_),
      ended_(most_ended),
      conflicts_(runtime, store,
                 {[this] { return events_.may_write(); },
                  [this](const std::string& key, std::uint64_t version) { learn(key, version); },
                  [this](const std::string& id, const stored_end& end) { learn_end(id, end); },
                  [this](const std::string& id) {
                    waiters_.answer(id, std::nullopt);
                    jobs_.erase(id);
                  },
                  [this] {
                    busy_ = false;
                    schedule(group_delay);
                  }}) {}

job_book::~job_book() {
  *alive_ = false;
  runtime_.cancel(timer_);
}

job* job_book::find(const std::string& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const job* job_book::find(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

job& job_book::insert(job one) {
  const std::string id = one.spec.id;
  return jobs_.insert_or_assign(id, std::move(one)).first->second;
}

void job_book::queue(const unit_name& unit, bool urgent) {
  if (urgent) {
    changes_.add_urgent(unit);
    schedule(group_delay);
  } else {
    changes_.add_progress(unit, runtime_.now());
    schedule(change_queue::progress_delay);
  }
}

void job_book::mark(job& one, std::uint32_t task, bool urgent) {
  const std::size_t unit = one.unit_of(task);
  one.view.reset();
  ++one.units[unit].mutation;
  queue({one.spec.id, unit}, urgent);
}

void job_book::mark_start(job& one, std::uint32_t task) {
  const std::size_t unit = one.unit_of(task);
  mark(one, task, false);
  auto& placed = one.attempts.at(task);
  placed.mutation = one.units[unit].mutation;
  log_.add(
      {one.spec.id, task, placed.number, placed.machine, placed.session, unit, placed.mutation});
  schedule(group_delay);
}

/// Starts that were logged, and whose jobs' records had not caught up when their leader ended. In
/// the order they were made: a later attempt of a task means that the earlier was proven gone.
void job_book::read_log(const std::vector<entry>& found) {
  std::vector<start_entry> starts;
  for (const auto& key : found) {
    try {
      for (auto& one : log_.read(key)) starts.push_back(std::move(one));
    } catch (const std::exception& error) {
      spdlog::error("log is malformed key={}: {}", key.key, error.what());
    }
  }
  std::stable_sort(starts.begin(), starts.end(),
                   [](const start_entry& a, const start_entry& b) { return a.change < b.change; });
  for (const auto& start : starts) {
    job* one = find(start.job);
    if (one == nullptr || start.task >= one->spec.tasks || one->unit_of(start.task) != start.unit)
      continue;
    auto& unit = one->units[start.unit];
    if (unit.stored >= start.change) continue;
    attempt entry;
    entry.number = start.number;
    entry.machine = start.machine;
    entry.session = start.session;
    entry.phase = attempt_phase::sent;
    entry.mutation = start.change;
    entry.logged = true;
    one->attempts[start.task] = entry;
    one->gang_try = std::max(one->gang_try, start.number);
    unit.next_try = std::max(unit.next_try, start.number + 1);
    unit.mutation = std::max(unit.mutation, start.change);
    queue({start.job, start.unit}, false);
  }
}

void job_book::mark_head(job& one) {
  one.view.reset();
  ++one.units[0].mutation;
  queue({one.spec.id, 0}, true);
}

void job_book::mark_head_progress(job& one) {
  one.view.reset();
  ++one.units[0].mutation;
  queue({one.spec.id, 0}, false);
}

void job_book::retire(job& one) {
  if (one.leaving) return;
  one.leaving = true;
  for (std::size_t unit = 1; unit < one.units.size(); ++unit) {
    if (one.units[unit].version != 0) {
      ++one.units[unit].mutation;
      queue({one.spec.id, unit}, true);
    }
  }
  mark_head(one);
}

void job_book::when_ended(const job& one, end_fn done) {
  if (one.end) return done(one.end);
  waiters_.add(one.spec.id, std::move(done));
}

void job_book::schedule(duration delay) {
  if (busy_) return;
  const time_point when = runtime_.now() + delay;
  if (timer_ != 0 && timer_at_ <= when) return;
  runtime_.cancel(timer_);
  timer_at_ = when;
  timer_ = runtime_.after(delay, [this] {
    timer_ = 0;
    flush();
  });
}

void job_book::remove(const std::string& id, const stored_end& end) {
  jobs_.erase(id);
  ended_.add(id, runtime_.now());
  events_.gone(id, end);
}

void job_book::read_conflicts(std::vector<std::string> keys) {
  if (keys.empty()) {
    schedule(retry_delay);
    return;
  }
  busy_ = true;
  conflicts_.start(std::move(keys));
}

void job_book::learn(const std::string& key, std::uint64_t version) {
  if (key.rfind(log_prefix, 0) == 0) {
    log_.learn(key, version);
    return;
  }
  const auto strip = [&](const std::string& prefix) { return key.substr(prefix.size()); };
  if (key.rfind(head_prefix, 0) == 0) {
    if (job* one = find(strip(head_prefix)); one != nullptr) one->units[0].version = version;
    return;
  }
  if (key.rfind(part_prefix, 0) != 0) return;
  const std::string rest = strip(part_prefix);
  const auto slash = rest.rfind('/');
  job* one = find(rest.substr(0, slash));
  if (one == nullptr) return;
  const auto unit = static_cast<std::size_t>(std::stoul(rest.substr(slash + 1)));
  if (unit < one->units.size()) one->units[unit].version = version;
}

/// A final record says that the job is over, whoever wrote it and whatever is known here.
void job_book::learn_end(const std::string& id, const stored_end& end) {
  if (find(id) == nullptr) return;
  waiters_.answer(id, end);
  remove(id, end);
}

}  // namespace gingerdrift::store
