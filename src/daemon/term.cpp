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
constexpr auto tick_period = seconds(1);
/// Of a value's limit, what the start log fills.
constexpr double value_share = 0.9;
constexpr std::size_t most_waiting_in_view = 256;
constexpr int pass_spacing = 3;
constexpr duration longest_pause = seconds(1);
/// A machine costs at least this much time, so it is not returned before.
constexpr auto least_paid = seconds(60);
/// Idle machines beyond this share of their pool, and beyond so many, go after this part of the
/// time.
constexpr std::size_t idle_share = 20;
constexpr std::size_t least_idle = 4;
constexpr double early_return = 0.4;
constexpr duration longest_kept = milliseconds(400);
/// How long a report may wait for the records to be read.
constexpr duration longest_early = seconds(1);
/// Steady clocks drift apart by 0.05% at most; the rest is for answers under way.
constexpr double drift = 0.001;
constexpr duration cancel_margin = seconds(3);
constexpr auto drain_slack = seconds(4);
/// So many machines of a zone, and at least half of them, silent at once: the zone is cut off.
constexpr std::size_t least_cut_off = 3;
/// Its machines are kept this much longer: back with the zone, they need neither boot nor image.
constexpr duration cut_patience = seconds(120);
/// A report is overdue after so many periods: workers vary theirs by a quarter.
constexpr double overdue_periods = 1.5;
constexpr duration deaf_patience = seconds(10);

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

bool confirms_when_gone(const platform_settings& platform) {
  return platform.cancel <
         from_seconds(to_seconds(platform.worker_lease) * (1 + drift)) + cancel_margin;
}

term::term(net::runtime& runtime, store::client& store, const platform_settings& platform,
           const operator_settings& rules, std::uint64_t token, const store::condition& leader,
           std::vector<admission::machine_type> types, planner& plans, metrics& numbers,
           hooks events)
    : runtime_(runtime),
      store_(store),
      platform_(platform),
      rules_(rules),
      token_(token),
      plans_(plans),
      numbers_(numbers),
      events_(std::move(events)),
      book_(runtime, store, leader, platform.txn_ops,
            static_cast<std::size_t>(platform.value_kb * 1024 * value_share),
            {[this](const std::string&) {
               answer_kept();
               changed();
             },
             [this](const std::string& id, const store::final_state& end) {
               spdlog::info("finished job={} state={} term={}", id, store::status_name(end.status),
                            token_);
               events_.finished(id, end);
               changed();
             },
             [this] { runtime_.after(duration::zero(), events_.deposed); },
             [this] { return events_.valid(); }}),
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
    for (const auto& entry : page.entries) take_in(entry);
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

void term::take_in(const store::entry& found) {
  if (found.key.rfind(store::log_prefix, 0) == 0) {
    log_entries_.push_back(found);
    return;
  }
  try {
    const std::string prefix = store::head_prefix;
    if (found.key.rfind(prefix, 0) == 0) {
      const std::string id = found.key.substr(prefix.size());
      if (book_.find(id) != nullptr || events_.finished_before(id)) return;
      job fresh = store::read_head(found.value, found.version);
      const auto team = team_index_.find(fresh.spec.team);
      if (team == team_index_.end()) {
        spdlog::error("job of an unknown team job={} team={}", id, fresh.spec.team);
        return;
      }
      book_.insert(std::move(fresh));
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
  workers_.ready();
  fleet_.start();
  spdlog::info("term={} is ready jobs={} after_ms={}", token_, book_.all().size(),
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
  if (!ready_ || book_.find(id) != nullptr || events_.finished_before(id)) return;
  if (!looking_.insert(id).second) return;
  store_.get(store::head_key(id), [this, id, alive = alive_](const store::result& found) {
    if (!*alive) return;
    looking_.erase(id);
    if (found.ok() && !found.entries.empty()) {
      take_in(found.entries.front());
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

std::optional<front::progress> term::known(const std::string& id) {
  const job* one = book_.find(id);
  if (one == nullptr) return std::nullopt;
  front::progress at;
  // Final states are told once they are stored, never before.
  at.status = one->status_stored ? one->status : job_status::active;
  if (at.status == job_status::cancelled && confirms_when_gone(platform_))
    at.status = job_status::active;
  at.done = one->done.count();
  for (const auto& [task, entry] : one->attempts) {
    if (entry.phase == attempt_phase::running) ++at.running;
  }
  return at;
}

void term::cancel(const std::string& id, std::function<void(std::optional<job_status>)> done) {
  job* one = book_.find(id);
  if (one == nullptr || !events_.valid()) {
    done(std::nullopt);
    return;
  }
  if (one->status == job_status::active) {
    spdlog::info("cancelled job={} term={}", id, token_);
    one->status = job_status::cancelled;
    book_.mark_head(*one);
    workers_.stop_all(*one, duration::zero());
    if (one->attempts.empty()) book_.retire(*one);
    changed();
  }
  // Where a lease outlasts the time a cancellation has, its user is told once the tasks are gone,
  // and asks again until then.
  if (one->status == job_status::cancelled && confirms_when_gone(platform_)) {
    done(std::nullopt);
    return;
  }
  if (one->status_stored) {
    done(one->status);
    return;
  }
  const job_status status = one->status;
  book_.when_head_stored(*one, [done = std::move(done), status](bool stored) {
    done(stored ? std::optional(status) : std::nullopt);
  });
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
  plans_.plan(token_, timed_picture(),
              [this, alive = alive_](const admission::decisions& made, duration took) {
                if (!*alive) return;
                planning_ = false;
                ++passes_done_;
                numbers_.passes.add(took);
                if (events_.valid()) {
                  const stopwatch watch(numbers_.on_orders);
                  apply(made);
                }
                pass_took_ = runtime_.now() - last_pass_;
                answer_kept();
                if (dirty_) changed();
              });
}

/// What a pass sees of a job. Written anew only when something it shows has changed: a snapshot of
/// a large fleet is then a list of pointers.
std::shared_ptr<const admission::job_view> term::view(job& one) const {
  if (one.view) return one.view;
  auto made = std::make_shared<admission::job_view>();
  auto& out = *made;
  const auto& spec = one.spec;
  const time_point now = runtime_.now();
  out.id = spec.id;
  out.team = team_index_.at(spec.team);
  out.level = spec.level;
  out.created_ms = one.created_ms;
  const auto wall =
      std::chrono::duration_cast<milliseconds>(runtime_.wall_now().time_since_epoch()).count();
  out.created = now - milliseconds(std::max<std::int64_t>(0, wall - one.created_ms));
  out.gang = spec.gang;
  out.total = spec.tasks;
  out.need = spec.need;
  out.any_type = spec.any_type;
  out.types = spec.types;
  out.zone = spec.zone;
  out.one_zone = spec.one_zone;
  out.spread = spec.spread;
  out.spot = spec.spot;
  out.image = spec.image;
  out.estimate = spec.estimate;
  out.checkpoint = spec.checkpoint;
  out.save = spec.save;
  out.not_before = one.not_before;
  bool joinable = true;
  bool lasting = true;
  for (const auto& [task, entry] : one.attempts) {
    admission::placed_view place;
    place.task = task;
    place.machine = entry.machine;
    const auto at = workers_.all().find(entry.machine);
    if (at != workers_.all().end()) place.where = at->second.where;
    if (place.where.zone.empty()) {
      const auto listed = fleet_.all().find(entry.machine);
      if (listed != fleet_.all().end()) place.where = listed->second.where;
    }
    // A machine nobody knows a zone of: nothing may be started beside its tasks.
    if (place.where.zone.empty()) {
      lasting = false;
      if (spec.one_zone || spec.spread) out.held_back = true;
    }
    place.running = entry.phase == attempt_phase::running;
    place.stopping = entry.stopping;
    if (place.running) place.running_since = entry.running_since;
    if (entry.stopping || !entry.seen || place.running) joinable = false;
    out.placed.push_back(std::move(place));
  }
  if (one.status == job_status::active) {
    // A job that failed everywhere is tried with one task: hundreds that all fail hold room and
    // images, time after time, that others wait for. Its first success sets it free.
    const bool broken = one.error_rounds > 0 && !spec.gang;
    const std::size_t most = broken ? std::size_t{one.attempts.empty()} : most_waiting_in_view;
    for (std::uint32_t task = 0; task < spec.tasks && out.waiting.size() < most; ++task) {
      const auto range = one.done.ranges().upper_bound(task);
      if (range != one.done.ranges().begin() && task <= std::prev(range)->second) {
        task = std::prev(range)->second;
        continue;
      }
      if (one.attempts.count(task) == 0) out.waiting.push_back(task);
    }
    // A gang restarts once its old attempt is gone; before it has started, it takes replacements.
    if (spec.gang && !one.attempts.empty() && !out.waiting.empty() &&
        (one.gang_started || !joinable))
      out.held_back = true;
  }
  for (const auto& [machine, count] : one.errors) out.avoid.insert(machine);
  if (lasting) one.view = made;
  return made;
}

std::shared_ptr<const admission::machine_view> term::view(
    workers::worker& at, const admission::machine_type& type) const {
  const bool ready = workers_.takes_tasks(at) && !fleet_.releasing(at.name);
  if (at.view && at.view->ready == ready) return at.view;
  auto made = std::make_shared<admission::machine_view>();
  made->name = at.name;
  made->where = at.where;
  made->free = type.size;
  for (const auto& [id, task] : at.attempts) {
    if (const job* one = book_.find(id); one != nullptr) made->free -= one->spec.need;
  }
  made->ready = ready;
  for (const auto& [image, gb] : at.images) made->images.push_back(image);
  at.view = made;
  return made;
}

admission::snapshot term::timed_picture() {
  const stopwatch watch(numbers_.on_views);
  return picture();
}

admission::snapshot term::picture() {
  admission::snapshot world;
  world.now = runtime_.now();
  world.types = fleet_.types();
  for (const auto& team : platform_.teams)
    world.teams.push_back({team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max});
  std::map<std::string, const admission::machine_type*> types;
  for (const auto& type : world.types) types[type.name] = &type;

  world.jobs.reserve(book_.all().size());
  for (auto& [id, one] : book_.all()) world.jobs.push_back(view(one));
  for (auto& [name, at] : workers_.all()) {
    if (!at.reported) continue;
    const auto type = types.find(at.where.type);
    if (type != types.end()) world.machines.push_back(view(at, *type->second));
  }
  for (const auto& coming : fleet_.starting()) {
    const auto* at = workers_.find(coming.name);
    // Nobody should wait for a machine that can't report, nor have more of them rented.
    if (types.count(coming.where.type) == 0 || cut_off(coming.where.zone)) continue;
    if (at != nullptr && (at->reported || !at->attempts.empty())) continue;
    auto machine = std::make_shared<admission::machine_view>();
    machine->name = coming.name;
    machine->where = coming.where;
    machine->free = types[coming.where.type]->size;
    machine->starting = true;
    world.machines.push_back(std::move(machine));
  }
  world.refused = fleet_.refused();
  for (const auto& type : world.types) {
    for (const auto& zone : type.zones) {
      if (!cut_off(zone)) continue;
      for (const bool spot : {false, true}) world.refused.insert({type.name, zone, spot});
    }
  }
  return world;
}

/// The world may have moved on since the snapshot: every decision is checked against the present.
bool term::may_start(const job& one, std::uint32_t task, const workers::worker& at) {
  if (one.status != job_status::active || one.leaving || one.done.contains(task) ||
      one.attempts.count(task) != 0)
    return false;
  return workers_.takes_tasks(at) && !fleet_.releasing(at.name) &&
         at.strangers.count({one.spec.id, task}) == 0;
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
      ++numbers_.starts;
      spdlog::debug("place job={} task={} try={} machine={} term={}", id, task, number,
                    made.starts[k].machine, token_);
    }
  }
  for (const auto& stop : made.stops) {
    job* one = book_.find(stop.job);
    if (one == nullptr) continue;
    const bool upgrade = stop.reason == admission::stop_reason::upgraded;
    ++(upgrade ? numbers_.upgrades : numbers_.preemptions);
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

/// A machine that is about to be taken: what can't finish in time saves and moves.
void term::drain(workers::worker& at) {
  const time_point now = runtime_.now();
  const duration left = *at.notice - (now - at.last_report);
  const auto held = at.attempts;
  for (const auto& [id, task] : held) {
    job* one = book_.find(id);
    if (one == nullptr) continue;
    const auto it = one->attempts.find(task);
    if (it == one->attempts.end() || it->second.stopping) continue;
    const auto& entry = it->second;
    const duration ran =
        entry.phase == attempt_phase::running ? now - entry.running_since : duration::zero();
    // Notices may be half as long as announced: only what is nearly done may stay.
    const bool finishes = entry.phase == attempt_phase::running &&
                          one->spec.estimate - ran < left / 2 &&
                          left > one->spec.save + drain_slack;
    if (finishes) continue;
    const duration grace = one->spec.save + seconds(2);
    if (one->spec.gang) {
      workers_.stop_all(*one, grace);
    } else {
      workers_.stop(*one, {task}, grace);
    }
  }
}

duration term::silence() const {
  return rules_.silent_release > duration::zero() ? rules_.silent_release : platform_.worker_lease;
}

/// Machines die one by one. When much of a zone falls silent at once, the zone is cut off, or its
/// workers can't find the leader: they will be back, with their images. All machines that the cloud
/// shows running count, heard of in this term or not: once a successor that had never heard them
/// returned the 491 machines of a zone, and rented as many in that same zone, where they could not
/// reach it either.
void term::look_at_zones() {
  const time_point now = runtime_.now();
  struct count {
    std::size_t all = 0;
    std::size_t silent = 0;
    std::size_t overdue = 0;
    std::size_t deaf = 0;
  };
  std::map<std::string, count> zones;
  for (const auto& [name, listed] : fleet_.all()) {
    const auto* at = workers_.find(name);
    const bool up = listed.reports || listed.status == fleet::machine_status::running;
    if (!up || listed.releasing) continue;
    const time_point heard = at != nullptr && at->reported ? at->last_report : time_point{};
    auto& zone = zones[listed.where.zone];
    ++zone.all;
    const duration unheard = now - std::max({heard, listed.running_since, started_});
    if (unheard > silence() / 2) ++zone.silent;
    if (unheard > platform_.report * overdue_periods) ++zone.overdue;
    if (at != nullptr && at->deaf_since) ++zone.deaf;
  }
  const auto many = [](std::size_t of_them, std::size_t all) {
    return of_them >= least_cut_off && of_them * 2 >= all;
  };
  deaf_zones_.clear();
  for (const auto& [zone, found] : zones) {
    if (many(found.deaf, found.all)) deaf_zones_.insert(zone);
    if (many(found.overdue, found.all)) doubted_[zone] = now;
    if (!many(found.silent, found.all)) continue;
    if (!cut_off(zone))
      spdlog::info("zone is cut off zone={} silent={} of={}", zone, found.silent, found.all);
    cut_seen_[zone] = now;
  }
  // Where a deputy acts, its workers hear it and not us.
  for (const auto& zone : deputy_zones_) cut_seen_[zone] = now;
}

bool term::cut_off(const std::string& zone) const {
  const auto seen = cut_seen_.find(zone);
  return seen != cut_seen_.end() && runtime_.now() - seen->second < tick_period * 2;
}

/// Much of the zone is overdue at once: the link may be at fault, or this very controller. A leader
/// that its workers could not reach once returned 73 spot machines with 525 tasks, those whose
/// reports had come first, in the second before half of the zone counted as silent and it resigned.
bool term::in_doubt(const std::string& zone) const {
  const auto seen = doubted_.find(zone);
  return seen != doubted_.end() && runtime_.now() - seen->second < tick_period * 2;
}

/// For how much longer a zone's silent machines are kept. A cut that has ended still counts for a
/// worker's lease, while its workers find the leader again one after the other: when the first half
/// was back, the other half, 235 machines with 900 tasks, was once returned at that very moment.
duration term::allowance(const std::string& zone) const {
  const auto seen = cut_seen_.find(zone);
  const bool lately =
      seen != cut_seen_.end() && runtime_.now() - seen->second < platform_.worker_lease;
  return lately ? cut_patience : duration::zero();
}

void term::return_machines() {
  const time_point now = runtime_.now();
  std::map<admission::pool, idle_machines> idle;
  for (auto& [name, at] : workers_.all()) {
    if (fleet_.releasing(name)) continue;
    if (!at.reported) {
      const auto listed = fleet_.all().find(name);
      const std::string zone = listed == fleet_.all().end() ? "" : listed->second.where.zone;
      const duration patience = silence() + allowance(zone);
      // Stored attempts on a machine that was not heard of in this term.
      if (!at.attempts.empty() && now - started_ > patience) fleet_.release(name, "never heard of");
      continue;
    }
    // A spot machine that falls silent has most likely been taken without notice.
    const duration patience =
        at.where.spot ? std::max(silence() / 2, platform_.report * 3) : silence();
    if (now - at.last_report > patience + allowance(at.where.zone) &&
        (now - at.last_report > silence() + cut_patience || !in_doubt(at.where.zone))) {
      fleet_.release(name, "silent");
      continue;
    }
    // Many machines that don't hear us are our own trouble as much as theirs.
    if (at.deaf_since && now - *at.deaf_since > silence() + deaf_patience &&
        deaf_zones_.count(at.where.zone) == 0) {
      fleet_.release(name, "answers don't reach it");
      continue;
    }
    if (!at.attempts.empty() || at.strangers_run) continue;
    // Behind a cut its tasks are over with their lease, but it is no more idle than it was.
    if (workers_.silent(at) && allowance(at.where.zone) > duration::zero()) continue;
    if (at.sick) {
      fleet_.release(name, "sick");
      continue;
    }
    if (expected_.count(name) != 0) continue;
    idle[at.where].emplace_back(at.idle_since, name);
  }
  for (const auto& [where, found] : idle) return_idle(where, found);
}

/// Machines that are idle for long go back, the longest idle first; a large pool falls idle and
/// busy again by many machines at once, and needs only a part of them for its next jobs.
void term::return_idle(const admission::pool& where, idle_machines found) {
  const time_point now = runtime_.now();
  std::size_t all = 0;
  for (const auto& [name, listed] : fleet_.all()) all += listed.where == where;
  const std::size_t kept = std::max(least_idle, all / idle_share);
  std::sort(found.begin(), found.end());
  std::size_t left = found.size();
  for (const auto& [since, name] : found) {
    const bool early = left > kept && now - since >= rules_.idle_return * early_return;
    if (!early && now - since < rules_.idle_return) break;
    const auto known = fleet_.all().find(name);
    if (known != fleet_.all().end() && now - known->second.rented < least_paid) continue;
    fleet_.release(name, "idle");
    --left;
  }
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
          {"unstored", book_.backlog()},
          {"machines", fleet_.all().size()},
          {"workers_reporting", reporting}};
}

}  // namespace gingerdrift::daemon
