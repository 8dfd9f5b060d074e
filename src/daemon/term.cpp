#include "daemon/term.hpp"

#include <spdlog/spdlog.h>

#include "workers/deputy.hpp"

namespace gingerdrift::daemon {

using store::attempt_phase;
using store::job;
using store::job_status;

namespace {
constexpr auto reload_delay = milliseconds(200);
constexpr auto watch_time = seconds(10);
constexpr auto watch_pause = seconds(1);
constexpr int pass_spacing = 3;
constexpr duration longest_pause = seconds(1);
constexpr duration longest_kept = milliseconds(400);
/// How long a report may wait for the records to be read.
constexpr duration longest_early = seconds(1);
/// Steady clocks drift apart by 0.05% at most; the rest is for answers under way.
constexpr double drift = 0.001;
constexpr duration cancel_margin = seconds(3);

workers::options worker_options(const platform_settings& platform, const operator_settings& rules,
                                duration grace) {
  return {platform.report, platform.worker_lease, grace, rules.sick_jobs, rules.broken_backoff};
}

fleet::options fleet_options(const platform_settings& platform, const operator_settings& rules) {
  fleet::options out;
  out.cloud = platform.cloud;
  out.rps = platform.cloud_rps;
  out.list_lag = platform.list_lag;
  out.refusal_backoff = rules.refusal_backoff;
  out.boot_patience = rules.boot_patience;
  out.silence = platform.worker_lease + seconds(10);
  out.machines_max = rules.machines_max;
  return out;
}
}  // namespace

duration keeper_grace(const platform_settings& platform) {
  // What a cancellation has, less the lease that an answer renews.
  const duration lease = from_seconds(to_seconds(platform.worker_lease) * (1 + drift));
  return std::max<duration>(duration::zero(), platform.cancel - lease - cancel_margin);
}

store::cancellation_told when_cancellations_are_told(const platform_settings& platform) {
  const duration lease = from_seconds(to_seconds(platform.worker_lease) * (1 + drift));
  return platform.cancel < lease + cancel_margin ? store::cancellation_told::when_tasks_are_gone
                                                 : store::cancellation_told::when_stored;
}

term::term(net::runtime& runtime, store::client& store, const platform_settings& platform,
           const operator_settings& rules, std::uint64_t token, const store::condition& leader,
           std::vector<admission::machine_type> types, planner& plans, metrics& measured,
           hooks events)
    : runtime_(runtime),
      store_(store),
      platform_(platform),
      rules_(rules),
      token_(token),
      planner_(plans),
      metrics_(measured),
      events_(std::move(events)),
      book_(runtime, store, leader,
            store::writable_sizes(platform.state_limits, platform.announced_state_limits),
            {[this](const std::string& id) {
               dependencies_.job_stored(id);
               answer_kept();
               changed();
             },
             [this](const std::string& id, const store::stored_end& end) {
               spdlog::info("finished job={} state={} term={}", id,
                            store::status_name(end.status()), token_);
               events_.finished(id, end);
               dependencies_.job_gone(id, end);
               changed();
             },
             [this] { runtime_.after(duration::zero(), events_.deposed); },
             [this] { return events_.valid(); }}),
      dependencies_(runtime, store, book_, *this),
      workers_(runtime, book_, worker_options(platform, rules, keeper_grace(platform)), token,
               {[this] { return events_.valid(); }, [this] { changed(); },
                [this](const std::string& name) {
                  for (const auto& type : fleet_.types()) {
                    if (type.name == name) return type.cache_gb;
                  }
                  return 0.0;
                },
                [this](const std::string& name) { return fleet_.rented_here(name); }}),
      fleet_(runtime, fleet_options(platform, rules), token,
             {[this](const std::string& machine, const char* proof) {
                workers_.machine_gone(machine, proof);
              },
              [this] { changed(); }, [this] { return events_.valid(); },
              [this](const std::string& zone) { return allowance(zone); }}),
      started_(runtime.now()),
      last_report_(started_) {
  fleet_.set_types(std::move(types));
  for (std::size_t i = 0; i < platform_.teams.size(); ++i) team_index_[platform_.teams[i].name] = i;
}

term::~term() {
  *alive_ = false;
  for (auto* list : {&kept_, &early_}) {
    for (auto& one : *list) one.answer({});
  }
  runtime_.cancel(pass_timer_);
  runtime_.cancel(tick_timer_);
}

void term::start() {
  load(store::head_prefix, "");
  tick();
}

/// Pages through the records: the heads, then the parts of large jobs.
void term::load(const std::string& prefix, const std::string& after) {
  store_.list(prefix, after, [this, prefix, after, alive = alive_](const store::result& page) {
    if (!*alive) return;
    if (!page.ok()) {
      runtime_.after(reload_delay, [this, prefix, after, alive] {
        if (*alive) load(prefix, after);
      });
      return;
    }
    // What is stored after the first page was read shows in the watch.
    if (watch_from_ == 0) watch_from_ = page.revision;
    for (const auto& entry : page.entries) take_in(entry, page.sent);
    if (page.more && !page.entries.empty()) {
      load(prefix, page.entries.back().key);
    } else if (!loading_) {
      // The watch had fallen behind: only new jobs are missing. Parts and the start log are ours
      // by now, and reading them again would bring attempts back that are over.
      follow();
      changed();
    } else if (prefix == store::head_prefix) {
      load(store::part_prefix, "");
    } else if (prefix == store::part_prefix) {
      load(store::log_prefix, "");
    } else {
      book_.read_log(log_entries_);
      log_entries_.clear();
      loaded();
    }
  });
}

void term::take_in(const store::entry& found, time_point asked) {
  if (found.key.rfind(store::log_prefix, 0) == 0) {
    log_entries_.push_back(found);
    return;
  }
  try {
    const std::string prefix = store::head_prefix;
    if (found.key.rfind(prefix, 0) == 0) {
      take_in_head(found.key.substr(prefix.size()), found, asked);
      return;
    }
    const std::string rest = found.key.substr(std::string(store::part_prefix).size());
    const auto slash = rest.rfind('/');
    if (job* one = book_.find(rest.substr(0, slash)); one != nullptr && loading_)
      store::read_part(*one, std::stoul(rest.substr(slash + 1)), found.value, found.version);
  } catch (const std::exception& error) {
    spdlog::error("record is malformed key={}: {}", found.key, error.what());
  }
}

void term::take_in_head(const std::string& id, const store::entry& found, time_point asked) {
  if (book_.find(id) != nullptr || events_.remembered(id)) return;
  // What was read before the job ended shows it as it was; a cache that forgets is no guard.
  if (book_.may_have_ended_since(id, asked)) {
    runtime_.after(reload_delay, [this, id, alive = alive_] {
      if (*alive) look_up(id);
    });
    return;
  }
  job fresh = store::read_head(found.value, found.version);
  if (fresh.spec.id != id) throw std::invalid_argument("it names another job");
  const auto team = team_index_.find(fresh.spec.team);
  if (team == team_index_.end()) {
    spdlog::error("job of an unknown team job={} team={}", id, fresh.spec.team);
    return;
  }
  dependencies_.job_added(book_.insert(std::move(fresh)));
}

void term::loaded() {
  loading_ = false;
  ready_ = true;
  for (auto& [id, one] : book_.all()) {
    workers_.adopt(one);
    if (one.status == job_status::active && one.done.count() == one.spec.tasks) {
      one.status = job_status::done;
      book_.mark_head(one);
    }
    if (one.status != job_status::active && one.attempts.empty()) book_.retire(one);
    if (one.status == job_status::cancelled) workers_.stop_all(one, duration::zero());
  }
  dependencies_.start();
  workers_.ready();
  fleet_.start();
  spdlog::info("term={} is ready jobs={} waiting_for_others={} after_ms={}", token_,
               book_.all().size(), dependencies_.waiting_jobs(),
               std::chrono::duration_cast<milliseconds>(runtime_.now() - started_).count());
  answer_early(false);
  follow();
  changed();
}

/// New jobs are announced by the node that took them; the watch finds those whose hint got lost.
void term::follow() {
  store_.watch(store::head_prefix, watch_from_, watch_time,
               [this, alive = alive_](const store::result& news) {
                 if (!*alive) return;
                 if (news.ok()) {
                   watch_from_ = std::max(watch_from_, news.revision);
                   for (const auto& change : news.entries) {
                     if (change.value.is_discarded()) continue;
                     look_up(change.key.substr(std::string(store::head_prefix).size()));
                   }
                 } else if (news.status == 410) {
                   watch_from_ = 0;
                   load(store::head_prefix, "");
                   return;
                 }
                 runtime_.after(watch_pause, [this, alive] {
                   if (*alive) follow();
                 });
               });
}

void term::look_up(const std::string& id) {
  if (!ready_ || book_.find(id) != nullptr || events_.remembered(id)) return;
  if (!looking_.insert(id).second) return;
  store_.get(store::head_key(id), [this, id, alive = alive_](const store::result& found) {
    if (!*alive) return;
    looking_.erase(id);
    if (found.ok() && !found.entries.empty()) {
      take_in(found.entries.front(), found.sent);
      changed();
    } else if (found.status != 404) {
      runtime_.after(reload_delay, [this, id, alive] {
        if (*alive) look_up(id);
      });
    }
  });
}

/// A report that frees places is answered with what fills them: a start may only go in a report's
/// answer, and the next report may be seconds away. The wait is short and bounded.
void term::report(workers::report said, std::function<void(std::string)> answer) {
  last_report_ = runtime_.now();
  if (fleet_.departed(said.machine)) return answer(workers::write_commands(token_, {}));
  if (!fleet_.releasing(said.machine)) fleet_.heard(said.machine, said.where);
  // An answer renews the lease of everything the worker has. Who has not read the records yet
  // knows of no cancellation: an answer would let cancelled tasks go on, by chains of successors
  // that each lose the store while reading for as long as the chain is (docs/design.md).
  const auto live = [](const workers::reported_task& one) {
    return one.phase != attempt_phase::exited;
  };
  if (!ready_ && std::any_of(said.tasks.begin(), said.tasks.end(), live)) {
    early_.push_back({std::move(said), std::move(answer), runtime_.now() + longest_early});
    runtime_.after(longest_early, [this, alive = alive_] {
      if (*alive) answer_early(true);
    });
    return;
  }
  const auto* before = workers_.find(said.machine);
  const std::size_t held = before == nullptr ? 0 : before->attempts.size();
  std::string out = workers_.handle(said);
  auto* at = workers_.find(said.machine);
  if (at != nullptr && at->notice) drain(*at);
  const bool freed = at != nullptr && at->attempts.size() < held;
  if (!freed || !events_.valid() || !workers_.takes_tasks(*at)) return answer(std::move(out));
  kept_.push_back(
      {std::move(said), std::move(answer), runtime_.now() + longest_kept, passes_begun_});
  runtime_.after(longest_kept, [this, alive = alive_] {
    if (*alive) answer_kept();
  });
}

/// Reports that came before the records were read: taken once they are, sent on after a while.
void term::answer_early(bool over) {
  auto waiting = std::exchange(early_, {});
  for (auto& one : waiting) {
    if (ready_) {
      report(std::move(one.said), std::move(one.answer));
    } else if (over && runtime_.now() >= one.until) {
      one.answer({});
    } else {
      early_.push_back(std::move(one));
    }
  }
}

void term::answer_kept() {
  std::vector<kept_report> ready;
  const time_point now = runtime_.now();
  for (auto it = kept_.begin(); it != kept_.end();) {
    const bool passed = passes_done_ > it->after_pass;
    bool stored = true;
    if (const auto* at = workers_.find(it->said.machine)) {
      for (const auto& [id, task] : at->attempts) {
        const job* one = book_.find(id);
        if (one == nullptr) continue;
        const auto entry = one->attempts.find(task);
        stored =
            stored && (entry == one->attempts.end() || one->attempt_stored(task, entry->second));
      }
    }
    if ((passed && stored) || now >= it->until) {
      ready.push_back(std::move(*it));
      it = kept_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& one : ready) one.answer(workers_.answer(one.said));
}

std::size_t term::machines() const { return ready_ ? fleet_.all().size() : 0; }

std::optional<store::job_state> term::state_of(const std::string& id) {
  const job* one = book_.find(id);
  if (one == nullptr) return std::nullopt;
  // Nor is a job called pending while something that it needs may be cancelled.
  if (!dependencies_.certain(*one)) return store::unsettled{};
  return store::state_in_memory(*one, when_cancellations_are_told(platform_));
}

void term::cancel(const std::string& id, store::job_book::end_fn done) {
  job* one = book_.find(id);
  if (one == nullptr || !events_.valid()) return done(std::nullopt);
  if (one->status == job_status::active) {
    spdlog::info("cancelled job={} term={}", id, token_);
    one->status = job_status::cancelled;
    dependencies_.job_cancelled(id);
    book_.mark_head(*one);
    workers_.stop_all(*one, duration::zero());
    if (one->attempts.empty()) book_.retire(*one);
    changed();
  }
  // Where a lease outlasts the time a cancellation has, its user is told once the tasks are gone,
  // and asks again until then.
  const bool hidden =
      when_cancellations_are_told(platform_) == store::cancellation_told::when_tasks_are_gone;
  if (one->status == job_status::cancelled && hidden) return done(std::nullopt);
  book_.when_ended(*one, std::move(done));
}

void term::changed() {
  dirty_ = true;
  if (!ready_ || planning_ || pass_timer_ != 0) return;
  const time_point now = runtime_.now();
  // A pass over a large fleet may take long on a small share of a core: reports and users wait
  // meanwhile, so that passes get a part of the time and no more.
  const duration pause =
      std::clamp<duration>(pass_took_ * pass_spacing, rules_.pass_interval, longest_pause);
  const time_point next = std::max(now + milliseconds(10), last_pass_ + pause);
  pass_timer_ = runtime_.after(next - now, [this] {
    pass_timer_ = 0;
    pass();
  });
}

void term::pass() {
  // Without a surely held lease nothing new is started.
  if (!events_.valid() || fleet_.types().empty()) return;
  planning_ = true;
  ++passes_begun_;
  dirty_ = false;
  last_pass_ = runtime_.now();
  planner_.plan(token_, timed_picture(),
                [this, alive = alive_](const admission::decisions& made, duration took) {
                  if (!*alive) return;
                  planning_ = false;
                  ++passes_done_;
                  metrics_.passes.add(took);
                  if (events_.valid()) {
                    const stopwatch watch(metrics_.on_orders);
                    apply(made);
                  }
                  pass_took_ = runtime_.now() - last_pass_;
                  answer_kept();
                  if (dirty_) changed();
                });
}

/// The world may have moved on since the snapshot: every decision is checked against the present.
bool term::may_start(const job& one, std::uint32_t task, const workers::worker& at) {
  if (one.status != job_status::active || one.leaving || one.done.contains(task) ||
      one.attempts.count(task) != 0)
    return false;
  return workers_.takes_tasks(at) && !fleet_.releasing(at.name) &&
         at.unknown_tasks.count({one.spec.id, task}) == 0;
}

void term::apply(const admission::decisions& made) {
  expected_ = made.expected;
  for (std::size_t i = 0; i < made.starts.size();) {
    const std::string& id = made.starts[i].job;
    std::size_t end = i;
    while (end < made.starts.size() && made.starts[end].job == id) ++end;
    job* one = book_.find(id);
    bool all = one != nullptr;
    std::vector<std::size_t> fine;
    for (std::size_t k = i; k < end && one != nullptr; ++k) {
      const auto* at = workers_.find(made.starts[k].machine);
      if (at != nullptr && may_start(*one, made.starts[k].task, *at)) {
        fine.push_back(k);
      } else {
        all = false;
      }
    }
    i = end;
    if (one == nullptr || (one->spec.gang && !all)) continue;
    if (one->spec.gang && one->gang_try == 0) {
      one->gang_try = one->units[0].next_try;
      for (auto& unit : one->units) {
        one->gang_try = std::max(one->gang_try, unit.next_try);
      }
    }
    for (const auto k : fine) {
      const auto task = made.starts[k].task;
      auto& unit = one->units[one->unit_of(task)];
      // A try is never numbered like an earlier one; a gang's members share theirs.
      const std::uint64_t number = one->spec.gang ? one->gang_try : unit.next_try;
      unit.next_try = std::max(unit.next_try, number + 1);
      workers_.place(*one, task, made.starts[k].machine, number);
      ++metrics_.starts;
      spdlog::debug("place job={} task={} try={} machine={} term={}", id, task, number,
                    made.starts[k].machine, token_);
    }
  }
  for (const auto& stop : made.stops) {
    job* one = book_.find(stop.job);
    if (one == nullptr) continue;
    const bool upgrade = stop.reason == admission::stop_reason::upgraded;
    ++(upgrade ? metrics_.upgrades : metrics_.preemptions);
    spdlog::info("{} job={} tasks={} for={} term={}", upgrade ? "upgrade" : "preempt", stop.job,
                 stop.tasks.size(), stop.for_job, token_);
    const duration grace = one->spec.save + seconds(2);
    if (one->spec.gang) {
      workers_.stop_all(*one, grace);
    } else {
      workers_.stop(*one, stop.tasks, grace);
    }
  }
  if (!made.rent.empty()) fleet_.want(made.rent);
}

/// A worker that is silent here may be kept alive by a deputy in its zone. Deputies say in the
/// store that they act, before they do; their records' versions show those that came and went.
void term::look_for_deputies() {
  if (looking_for_deputies_) return;
  looking_for_deputies_ = true;
  store_.list(workers::deputy_prefix, "", [this, alive = alive_](const store::result& found) {
    if (!*alive) return;
    looking_for_deputies_ = false;
    if (!found.ok() || found.more) return;
    std::map<std::string, std::uint64_t> versions;
    deputy_zones_.clear();
    for (const auto& entry : found.entries) {
      versions[entry.key] = entry.version;
      // What can't be read counts as acting.
      const bool idle = entry.value.is_object() && entry.value.contains("active") &&
                        entry.value["active"] == false;
      if (!idle) deputy_zones_.insert(store::text_field(entry.value, "zone"));
    }
    if (!deputy_zones_.empty()) {
      quiet_from_.reset();
    } else if (!quiet_from_ || versions != deputies_) {
      quiet_from_ = found.sent;
    }
    deputies_ = std::move(versions);
    if (quiet_from_) workers_.check_leases(*quiet_from_, found.sent);
  });
}

void term::tick() {
  tick_timer_ = runtime_.after(tick_period, [this] { tick(); });
  if (!ready_) return;
  look_for_deputies();
  workers_.probe();
  workers_.forgive_errors();
  for (auto& [name, at] : workers_.all()) {
    if (at.notice) drain(at);
  }
  look_at_zones();
  if (events_.valid()) return_machines();
  changed();
}

nlohmann::json term::status() const {
  std::size_t reporting = 0;
  for (const auto& [name, at] : workers_.all()) reporting += workers_.silent(at) ? 0 : 1;
  return {{"token", token_},
          {"ready", ready_},
          {"jobs", book_.all().size()},
          {"waiting_for_others", dependencies_.waiting_jobs()},
          {"unstored", book_.backlog()},
          {"machines", fleet_.all().size()},
          {"workers_reporting", reporting}};
}

}  // namespace gingerdrift::daemon
