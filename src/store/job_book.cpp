#include "store/job_book.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::store {

namespace {
constexpr auto group_delay = milliseconds(4);
constexpr auto retry_delay = milliseconds(150);
/// How long progress waits for more of the same record, and how long at most for urgent changes.
constexpr duration progress_delay = milliseconds(400);
constexpr duration longest_progress = seconds(3);
constexpr std::size_t txn_bytes = std::size_t{40} << 10;
}  // namespace

job_book::job_book(net::runtime& runtime, client& store, condition leader, std::uint32_t txn_ops,
                   std::size_t value_bytes, hooks events)
    : runtime_(runtime),
      store_(store),
      leader_(std::move(leader)),
      txn_ops_(txn_ops),
      events_(std::move(events)),
      log_(value_bytes) {}

job_book::~job_book() {
  *alive_ = false;
  runtime_.cancel(timer_);
  for (auto& [id, list] : waiters_) {
    for (auto& [mutation, done] : list) done(false);
  }
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

void job_book::queue(const std::string& id, std::size_t unit, bool urgent) {
  const unit_name name{id, unit};
  if (urgent) {
    if (in_urgent_.insert(name).second) urgent_.push_back(name);
    schedule(group_delay);
  } else if (in_urgent_.count(name) == 0 && in_progress_.insert(name).second) {
    progress_.push_back({name, runtime_.now()});
    schedule(progress_delay);
  }
}

/// Progress that has waited long enough joins the urgent changes, as far as the budget allows: an
/// array's tasks end one by one, and a write for each would use up the store's limit.
void job_book::promote() {
  const time_point now = runtime_.now();
  while (!progress_.empty()) {
    const auto& first = progress_.front();
    const bool known = in_progress_.count(first.unit) != 0;
    if (known && now - first.since < progress_delay) break;
    if (known && !urgent_.empty() && now - first.since < longest_progress) break;
    if (known) {
      in_progress_.erase(first.unit);
      if (in_urgent_.insert(first.unit).second) urgent_.push_back(first.unit);
    }
    progress_.pop_front();
  }
}

void job_book::mark(job& one, std::uint32_t task, bool urgent) {
  const std::size_t unit = one.unit_of(task);
  one.view.reset();
  ++one.units[unit].mutation;
  queue(one.spec.id, unit, urgent);
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
    queue(start.job, start.unit, false);
  }
}

void job_book::mark_head(job& one) {
  one.view.reset();
  ++one.units[0].mutation;
  if (one.status != job_status::active && one.status_change == 0)
    one.status_change = one.units[0].mutation;
  queue(one.spec.id, 0, true);
}

void job_book::retire(job& one) {
  if (one.leaving) return;
  one.leaving = true;
  for (std::size_t unit = 1; unit < one.units.size(); ++unit) {
    if (one.units[unit].version != 0) {
      ++one.units[unit].mutation;
      queue(one.spec.id, unit, true);
    }
  }
  mark_head(one);
}

void job_book::when_head_stored(job& one, std::function<void(bool)> done) {
  if (!one.units[0].dirty()) {
    done(true);
    return;
  }
  waiters_[one.spec.id].emplace_back(one.units[0].mutation, std::move(done));
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

void job_book::flush() {
  if (busy_) return;
  promote();
  if (urgent_.empty() && !log_.waiting()) {
    if (!progress_.empty()) schedule(progress_delay / 4);
    return;
  }
  // Without a valid lease nothing is written: another leader may be at work.
  if (!events_.may_write()) {
    schedule(retry_delay);
    return;
  }
  const double budget = std::min<double>(txn_ops_, store_.writes_for_records());
  std::vector<condition> conditions = {leader_};
  std::vector<operation> operations;
  std::vector<piece> pieces;
  std::size_t bytes = 0;
  if (budget >= 1) {
    log_.prepare(
        [this](const start_entry& start) {
          const job* one = find(start.job);
          return one == nullptr || one->units[start.unit].stored >= start.change;
        },
        conditions, operations);
  }
  std::deque<unit_name> later;
  while (!urgent_.empty() && bytes < txn_bytes) {
    const auto [id, unit] = urgent_.front();
    job* one = find(id);
    if (one == nullptr || !one->units[unit].dirty()) {
      urgent_.pop_front();
      in_urgent_.erase({id, unit});
      in_progress_.erase({id, unit});
      continue;
    }
    const bool last = unit == 0 && one->leaving;
    if (last && one->large()) {
      // The parts go first, and only once the final status is stored: a successor that finds the
      // head without them must not take the tasks for unstarted.
      bool parts = false;
      for (std::size_t i = 1; i < one->units.size(); ++i)
        parts = parts || one->units[i].version != 0;
      if (parts && one->status_stored) {
        urgent_.pop_front();
        later.emplace_back(id, unit);
        continue;
      }
    }
    const bool part_goes = unit != 0 && one->leaving;
    if (part_goes && !one->status_stored) {
      urgent_.pop_front();
      later.emplace_back(id, unit);
      continue;
    }
    const bool final_record = last && !(one->large() && !one->status_stored);
    const double cost = final_record ? 2 : 1;
    if (static_cast<double>(operations.size()) + cost > budget) break;
    urgent_.pop_front();
    in_urgent_.erase({id, unit});
    in_progress_.erase({id, unit});
    auto& state = one->units[unit];
    const std::string key = unit == 0 ? head_key(id) : part_key(id, unit);
    conditions.push_back({key, state.version});
    if (final_record) {
      conditions.push_back({final_key(id), 0});
      operations.push_back({key, {}, 0, true});
      operations.push_back({final_key(id), write_final(*one), 0, false});
    } else if (part_goes) {
      operations.push_back({key, {}, 0, true});
    } else {
      json value = unit == 0 ? write_head(*one) : write_part(*one, unit);
      bytes += value.dump().size();
      operations.push_back({key, std::move(value), 0, false});
    }
    pieces.push_back({id, unit, state.mutation, final_record, final_record || part_goes});
  }
  for (auto& item : later) urgent_.push_back(std::move(item));
  if (operations.empty()) {
    if (backlog() > 0 || log_.waiting()) schedule(retry_delay);
    return;
  }
  busy_ = true;
  store_.txn(conditions, operations,
             [this, pieces = std::move(pieces), alive = alive_](const result& answer) {
               if (!*alive) return;
               busy_ = false;
               if (answer.ok()) {
                 applied(pieces, answer.revision);
                 if (*alive) schedule(group_delay);
                 return;
               }
               take_back(pieces);
               log_.failed();
               if (answer.status == 409) {
                 for (const auto& key : answer.failed) {
                   if (key != leader_.key) continue;
                   events_.deposed();
                   return;
                 }
                 repair(answer.failed);
                 return;
               }
               if (answer.status == 400) spdlog::error("store refused a transaction as malformed");
               schedule(retry_delay);
             });
}

/// What could not be written goes first the next time.
void job_book::take_back(const std::vector<piece>& pieces) {
  for (const auto& one : pieces) {
    if (in_urgent_.emplace(one.id, one.unit).second) urgent_.emplace_front(one.id, one.unit);
  }
}

void job_book::applied(const std::vector<piece>& pieces, std::uint64_t revision) {
  std::set<std::string> touched;
  std::vector<std::pair<std::string, final_state>> finished;
  const auto alive = alive_;
  for (const auto& start : log_.written(revision)) {
    job* one = find(start.job);
    if (one == nullptr) continue;
    const auto placed = one->attempts.find(start.task);
    if (placed == one->attempts.end() || placed->second.mutation != start.change) continue;
    placed->second.logged = true;
    touched.insert(start.job);
  }
  for (const auto& one : pieces) {
    job* found = find(one.id);
    if (found == nullptr) continue;
    auto& unit = found->units[one.unit];
    unit.version = one.erased ? 0 : revision;
    unit.stored = std::max(unit.stored, one.mutation);
    // What was written may be older than the status: an earlier change of the head, under way when
    // the job ended. A user was once told `done` by that, and `running` by a successor.
    if (one.unit == 0 && found->status_change != 0 && one.mutation >= found->status_change)
      found->status_stored = true;
    // A large job's head was stored with the final status; its removal comes after its parts'.
    if (one.unit == 0 && found->leaving && !one.final_record) {
      ++unit.mutation;
      queue(one.id, 0, true);
    }
    if (one.final_record) {
      finished.emplace_back(one.id, final_state{found->status, found->done.count()});
    }
    touched.insert(one.id);
  }
  std::vector<std::function<void(bool)>> ready;
  for (const auto& id : touched) {
    const auto found = waiters_.find(id);
    if (found == waiters_.end()) continue;
    const auto known = jobs_.find(id);
    if (known == jobs_.end()) continue;
    const auto stored = known->second.units[0].stored;
    auto& list = found->second;
    for (auto it = list.begin(); it != list.end();) {
      if (it->first <= stored) {
        ready.push_back(std::move(it->second));
        it = list.erase(it);
      } else {
        ++it;
      }
    }
    if (list.empty()) waiters_.erase(found);
  }
  for (auto& done : ready) done(true);
  for (const auto& id : touched) {
    if (!*alive) return;
    events_.stored(id);
  }
  for (const auto& [id, end] : finished) {
    if (!*alive) return;
    jobs_.erase(id);
    events_.gone(id, end);
  }
}

/// Conditions failed on our own keys: a transaction that went unanswered was applied after all.
/// Only the leader writes these keys, so their present versions are ours.
void job_book::repair(std::vector<std::string> keys) {
  if (keys.empty()) {
    schedule(retry_delay);
    return;
  }
  busy_ = true;
  const std::string key = keys.back();
  store_.get(
      key, [this, key, keys = std::move(keys), alive = alive_](const result& answer) mutable {
        if (!*alive) return;
        busy_ = false;
        if (answer.ok() && !answer.entries.empty()) {
          learn(key, answer.entries.front().version);
          keys.pop_back();
        } else if (answer.status == 404) {
          learn(key, 0);
          keys.pop_back();
        }
        if (keys.empty()) {
          schedule(group_delay);
          return;
        }
        busy_ = true;
        runtime_.after(milliseconds(20), [this, keys = std::move(keys), alive = alive_]() mutable {
          if (!*alive) return;
          busy_ = false;
          repair(std::move(keys));
        });
      });
}

void job_book::learn(const std::string& key, std::uint64_t version) {
  if (key.rfind(log_prefix, 0) == 0) {
    log_.learn(key, version);
    return;
  }
  const auto strip = [&](const std::string& prefix) { return key.substr(prefix.size()); };
  if (key.rfind(head_prefix, 0) == 0) {
    job* one = find(strip(head_prefix));
    if (one == nullptr) return;
    if (version == 0 && one->leaving) {
      // The final record went in with the head's removal.
      const std::string id = one->spec.id;
      const final_state end{one->status, one->done.count()};
      auto waiting = std::move(waiters_[id]);
      waiters_.erase(id);
      jobs_.erase(id);
      for (auto& [mutation, done] : waiting) done(true);
      events_.gone(id, end);
      return;
    }
    one->units[0].version = version;
    return;
  }
  if (key.rfind(part_prefix, 0) == 0) {
    const std::string rest = strip(part_prefix);
    const auto slash = rest.rfind('/');
    job* one = find(rest.substr(0, slash));
    if (one == nullptr) return;
    const auto unit = static_cast<std::size_t>(std::stoul(rest.substr(slash + 1)));
    if (unit < one->units.size()) one->units[unit].version = version;
  }
}

}  // namespace gingerdrift::store
