#include "admission/scheduler.hpp"

#include <cmath>
#include <limits>
#include <queue>

namespace gingerdrift::admission {

/// What one pass works on: the room left, the quotas used and the heaps.
class pass_state {
 public:
  pass_state(scheduler& owner, const snapshot& world) : owner_(owner), world_(world) {}
  decisions run();

 private:
  struct machine_state {
    const machine_view* view;
    resources free;
    resources leaving;  // held by tasks that were told to stop
    bool empty = true;
  };
  struct job_state {
    const job_view* view;
    variant_set* set;
    std::vector<std::uint32_t> left;  // tasks still to be placed
    std::map<std::string, std::uint32_t> in_zone;
    bool waits_for_room = false;  // preempts or upgrades: lower variants pause in this pass
  };
  struct heap_entry {
    std::size_t job;
    std::size_t variant;
  };
  struct victim {
    std::size_t job;
    std::vector<std::uint32_t> tasks;
    double cost;
  };
  struct clearing {
    const machine_state* machine;
    resources free;
    std::vector<victim> victims;
    double cost;
    std::vector<resources> used;  // by team, once the victims are gone
  };

  void prepare();
  void race();
  void try_variant(std::size_t job, const variant& one);
  bool place(job_state& job, const variant& one);
  bool preempt(job_state& job, const variant& one);
  bool clear_quota(job_state& job, const variant& one, double tasks);
  void stop(const victim& one, const job_state& job);
  void upgrade();
  void demand();
  std::optional<pool> emptiest(const machine_type& type, const pool& where, const job_state& job,
                               const std::map<pool, std::uint32_t>& held) const;

  bool usable(const machine_state& machine, const job_state& job, const pool& where) const;
  bool zone_allows(const job_state& job, const std::string& zone) const;
  bool quota_allows(const job_state& job, double tasks) const;
  bool within_guarantee(const job_state& job, double tasks) const;
  bool borrowed(std::size_t team, const resources& amount, const resources& used) const;
  machine_state* pick(const job_state& job, const pool& where);
  void take(job_state& job, machine_state& machine, std::uint32_t task);
  std::vector<victim> victims_on(const machine_state& machine, const job_state& job) const;
  std::optional<clearing> clear(const machine_state& machine, const job_state& job, resources free,
                                bool for_guarantee, const std::vector<resources>& used) const;
  double loss(const job_view& job, const placed_view& place) const;

  scheduler& owner_;
  const snapshot& world_;
  decisions out_;
  std::map<std::string, machine_state> machines_;
  std::vector<job_state> jobs_;
  std::vector<resources> used_;     // by team: all that is not proven gone; limits count this
  std::vector<resources> settled_;  // once what was decided has happened; guarantees count this
  std::set<std::string> stopped_;   // jobs told to stop in this pass
};

decisions scheduler::pass(const snapshot& world) { return pass_state(*this, world).run(); }

decisions pass_state::run() {
  prepare();
  race();
  upgrade();
  demand();
  return std::move(out_);
}

void pass_state::prepare() {
  for (const auto& view : world_.machines) machines_[view.name] = {&view, view.free, {}, true};
  used_.resize(world_.teams.size());
  settled_.resize(world_.teams.size());
  std::set<std::string> known;
  for (const auto& view : world_.jobs) known.insert(view.id);
  owner_.book_.forget_all_but(known);
  for (const auto& view : world_.jobs) {
    job_state job{&view, &owner_.book_.refresh(view, world_), {}, {}, false};
    if (!view.held_back) job.left = view.waiting;
    for (const auto& place : view.placed) {
      // Until a task is proven gone it holds its quota, its place and its zone.
      used_[view.team] += view.need;
      if (!place.stopping) settled_[view.team] += view.need;
      ++job.in_zone[place.where.zone];
      const auto found = machines_.find(place.machine);
      if (found == machines_.end()) continue;
      found->second.empty = false;
      if (place.stopping) found->second.leaving += view.need;
    }
    jobs_.push_back(std::move(job));
  }
  std::set<std::string> waiting;
  for (const auto& job : jobs_) {
    bool moving = !job.view->waiting.empty() || job.view->held_back;
    // A job on its way to a better pool waits as soon as its old place is given up.
    for (const auto& place : job.view->placed) moving = moving || place.stopping;
    if (moving) waiting.insert(job.view->id);
  }
  std::erase_if(owner_.reserved_, [&](const auto& item) {
    return world_.now >= item.second.until || waiting.count(item.second.job) == 0 ||
           machines_.count(item.first) == 0;
  });
}

bool pass_state::zone_allows(const job_state& job, const std::string& zone) const {
  const auto& view = *job.view;
  if (!view.zone.empty() && view.zone != zone) return false;
  if (view.one_zone) {
    for (const auto& [other, count] : job.in_zone) {
      if (count > 0 && other != zone) return false;
    }
  }
  if (view.spread) {
    const auto found = job.in_zone.find(zone);
    const std::uint32_t there = found == job.in_zone.end() ? 0 : found->second;
    if (there + 1 > (view.total + 1) / 2) return false;
  }
  return true;
}

bool pass_state::quota_allows(const job_state& job, double tasks) const {
  const auto& team = world_.teams[job.view->team];
  resources sum = used_[job.view->team];
  sum += job.view->need.times(tasks);
  constexpr double slack = 1e-6;
  return (team.cpus_max <= 0 || sum.cpus <= team.cpus_max + slack) &&
         (team.gpus_max <= 0 || sum.gpus <= team.gpus_max + slack);
}

bool pass_state::within_guarantee(const job_state& job, double tasks) const {
  const auto& team = world_.teams[job.view->team];
  if (team.cpus <= 0 && team.gpus <= 0) return false;
  resources sum = settled_[job.view->team];
  sum += job.view->need.times(tasks);
  constexpr double slack = 1e-6;
  return (team.cpus <= 0 || sum.cpus <= team.cpus + slack) &&
         (team.gpus <= 0 || sum.gpus <= team.gpus + slack);
}

/// Is this much of what the team runs beyond its own guarantee?
bool pass_state::borrowed(std::size_t team, const resources& amount, const resources& used) const {
  const auto& view = world_.teams[team];
  resources rest = used;
  rest -= amount;
  constexpr double slack = 1e-6;
  if (view.cpus <= 0 && view.gpus <= 0) return true;
  return (view.cpus > 0 && rest.cpus + slack >= view.cpus) ||
         (view.gpus > 0 && rest.gpus + slack >= view.gpus);
}

bool pass_state::usable(const machine_state& machine, const job_state& job,
                        const pool& where) const {
  const auto& at = machine.view->where;
  if (!machine.view->ready || at.type != where.type || at.spot != where.spot) return false;
  if (!where.zone.empty() && at.zone != where.zone) return false;
  if (job.view->avoid.count(machine.view->name) != 0) return false;
  if (!zone_allows(job, at.zone)) return false;
  const auto held = owner_.reserved_.find(machine.view->name);
  return held == owner_.reserved_.end() || held->second.job == job.view->id;
}

/// Best fit: room reserved for the job first, then a machine that has the image, then the fullest
/// one, so that whole machines stay free for jobs that need them.
pass_state::machine_state* pass_state::pick(const job_state& job, const pool& where) {
  machine_state* best = nullptr;
  std::tuple<int, int, double> best_key;
  for (auto& [name, machine] : machines_) {
    if (!usable(machine, job, where) || !job.view->need.fits_in(machine.free)) continue;
    const int ours = owner_.reserved_.count(name) != 0 ? 0 : 1;
    const int cached = machine.view->images.count(job.view->image) != 0 ? 0 : 1;
    const double room = machine.free.gpus * 1e3 + machine.free.cpus;
    const std::tuple<int, int, double> key{ours, cached, room};
    if (best == nullptr || key < best_key) {
      best = &machine;
      best_key = key;
    }
  }
  return best;
}

void pass_state::take(job_state& job, machine_state& machine, std::uint32_t task) {
  machine.free -= job.view->need;
  machine.empty = false;
  used_[job.view->team] += job.view->need;
  settled_[job.view->team] += job.view->need;
  if (!job.set->admitted) job.set->admitted = world_.now;
  ++job.in_zone[machine.view->where.zone];
  out_.starts.push_back({job.view->id, task, machine.view->name});
}

/// A gang is placed whole or not at all; of an array, as many tasks as there is room for. What
/// remains of an array goes on in the race as if it were the job.
bool pass_state::place(job_state& job, const variant& one) {
  if (job.view->gang) {
    if (!quota_allows(job, static_cast<double>(job.left.size()))) return false;
    const auto machines = machines_;
    const auto used = used_;
    const auto settled = settled_;
    const auto zones = job.in_zone;
    const auto before = out_.starts.size();
    for (const auto task : job.left) {
      machine_state* machine = pick(job, one.where);
      if (machine == nullptr) {
        machines_ = machines;
        used_ = used;
        settled_ = settled;
        job.in_zone = zones;
        out_.starts.resize(before);
        return false;
      }
      take(job, *machine, task);
    }
    job.left.clear();
    return true;
  }
  std::size_t placed = 0;
  while (placed < job.left.size() && quota_allows(job, 1)) {
    machine_state* machine = pick(job, one.where);
    if (machine == nullptr) break;
    take(job, *machine, job.left[placed++]);
  }
  job.left.erase(job.left.begin(), job.left.begin() + static_cast<std::ptrdiff_t>(placed));
  return job.left.empty();
}

double pass_state::loss(const job_view& job, const placed_view& place) const {
  if (!place.running) return 1;
  const double ran = to_seconds(place.ran);
  // A stop with enough grace keeps the progress but costs the saving and a new start.
  return job.checkpoint > duration::zero() ? 5 + to_seconds(job.save) + ran * 0.02 : 10 + ran;
}

/// Everything that may be stopped on a machine for this job, cheapest first.
std::vector<pass_state::victim> pass_state::victims_on(const machine_state& machine,
                                                       const job_state& job) const {
  std::vector<victim> found;
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    const auto& other = *jobs_[i].view;
    if (other.id == job.view->id || stopped_.count(other.id) != 0) continue;
    for (const auto& place : other.placed) {
      if (place.machine != machine.view->name || place.stopping) continue;
      const double size = other.gang ? static_cast<double>(other.placed.size()) : 1;
      victim one{i, {place.task}, loss(other, place) * size};
      if (other.gang) {
        one.tasks.clear();
        for (const auto& mate : other.placed) one.tasks.push_back(mate.task);
      }
      found.push_back(std::move(one));
      if (other.gang) break;
    }
  }
  std::sort(found.begin(), found.end(),
            [](const victim& a, const victim& b) { return a.cost < b.cost; });
  return found;
}

/// Chooses what to stop on one machine so that one task more fits; nullopt when nothing may be.
std::optional<pass_state::clearing> pass_state::clear(const machine_state& machine,
                                                      const job_state& job, resources free,
                                                      bool for_guarantee,
                                                      const std::vector<resources>& used) const {
  clearing out{&machine, free, {}, 0, used};
  if (job.view->need.fits_in(out.free)) return out;
  for (auto& candidate : victims_on(machine, job)) {
    const auto& other = *jobs_[candidate.job].view;
    const resources amount = other.need.times(static_cast<double>(candidate.tasks.size()));
    const bool lower = other.level < job.view->level;
    const bool lent = for_guarantee && other.team != job.view->team &&
                      borrowed(other.team, amount, out.used[other.team]);
    if (!lower && !lent) continue;
    for (const auto& place : other.placed) {
      const bool told = std::find(candidate.tasks.begin(), candidate.tasks.end(), place.task) !=
                        candidate.tasks.end();
      if (told && place.machine == machine.view->name) out.free += other.need;
    }
    out.used[other.team] -= amount;
    out.cost += candidate.cost;
    out.victims.push_back(std::move(candidate));
    if (job.view->need.fits_in(out.free)) return out;
  }
  return std::nullopt;
}

void pass_state::stop(const victim& one, const job_state& job) {
  auto& other = jobs_[one.job];
  if (other.view->gang && !stopped_.insert(other.view->id).second) return;
  out_.stops.push_back({other.view->id, one.tasks, stop_reason::preempted, job.view->id});
  owner_.book_.reset(other.view->id, world_.now);
  other.left.clear();
}

/// The team is at its limit: its own lower work makes room under it.
bool pass_state::clear_quota(job_state& job, const variant& one, double tasks) {
  const auto& team = world_.teams[job.view->team];
  const auto fits = [&](resources sum) {
    sum += job.view->need.times(tasks);
    constexpr double slack = 1e-6;
    return (team.cpus_max <= 0 || sum.cpus <= team.cpus_max + slack) &&
           (team.gpus_max <= 0 || sum.gpus <= team.gpus_max + slack);
  };
  std::vector<victim> all;
  for (const auto& [name, machine] : machines_) {
    for (auto& candidate : victims_on(machine, job)) {
      const auto& other = *jobs_[candidate.job].view;
      if (other.team != job.view->team || !(other.level < job.view->level)) continue;
      all.push_back(std::move(candidate));
    }
  }
  std::sort(all.begin(), all.end(),
            [](const victim& a, const victim& b) { return a.cost < b.cost; });
  resources left = settled_[job.view->team];
  std::vector<victim> chosen;
  std::set<std::size_t> gangs;
  for (auto& candidate : all) {
    if (fits(left)) break;
    const auto& other = *jobs_[candidate.job].view;
    if (other.gang && !gangs.insert(candidate.job).second) continue;
    left -= other.need.times(static_cast<double>(candidate.tasks.size()));
    chosen.push_back(std::move(candidate));
  }
  if (!fits(left)) return false;
  settled_[job.view->team] = left;
  settled_[job.view->team] += job.view->need.times(tasks);
  for (const auto& victim_of_quota : chosen) stop(victim_of_quota, job);
  job.set->preempting = one.rank;
  job.set->preempting_until = world_.now + owner_.rules_.preempt_hold;
  return true;
}

bool pass_state::preempt(job_state& job, const variant& one) {
  // At most one variant of a job preempts at a time.
  if (job.set->preempting && *job.set->preempting != one.rank) return false;
  const double tasks = job.view->gang ? static_cast<double>(job.left.size()) : 1;
  if (!quota_allows(job, tasks)) return clear_quota(job, one, tasks);
  // Array tasks are short and end one by one: places come free sooner than they can be cleared, and
  // clearing them for each other's guarantees only wastes work.
  const bool for_guarantee = job.view->gang && within_guarantee(job, tasks);

  std::map<std::string, resources> room;  // of the machines chosen, once everybody told has left
  std::vector<victim> victims;
  std::vector<resources> used = settled_;
  job_state probe = job;
  std::size_t cleared = 0;
  for (; cleared < job.left.size() && quota_allows(job, static_cast<double>(cleared + 1));
       ++cleared) {
    std::optional<clearing> best;
    for (const auto& [name, machine] : machines_) {
      if (!usable(machine, probe, one.where)) continue;
      std::optional<clearing> found;
      if (const auto chosen = room.find(name); chosen != room.end()) {
        // Its victims are counted already: only what they leave may be used.
        if (!job.view->need.fits_in(chosen->second)) continue;
        found = clearing{&machine, chosen->second, {}, 0, used};
      } else {
        resources free = machine.free;
        free += machine.leaving;
        found = clear(machine, job, free, for_guarantee, used);
      }
      if (found && (!best || found->cost < best->cost)) best = std::move(found);
    }
    if (!best) break;
    best->free -= job.view->need;
    room[best->machine->view->name] = best->free;
    used = std::move(best->used);
    for (auto& one_victim : best->victims) victims.push_back(std::move(one_victim));
    ++probe.in_zone[best->machine->view->where.zone];
  }
  if (cleared == 0 || (job.view->gang && cleared < job.left.size())) return false;
  settled_ = std::move(used);
  settled_[job.view->team] += job.view->need.times(static_cast<double>(cleared));
  for (const auto& [name, left] : room)
    owner_.reserved_[name] = {job.view->id, world_.now + owner_.rules_.preempt_hold};
  for (auto& one_victim : victims) {
    auto& other = jobs_[one_victim.job];
    if (other.view->gang && !stopped_.insert(other.view->id).second) continue;
    out_.stops.push_back({other.view->id, one_victim.tasks, stop_reason::preempted, job.view->id});
    owner_.book_.reset(other.view->id, world_.now);
    other.left.clear();
  }
  job.set->preempting = one.rank;
  job.set->preempting_until = world_.now + owner_.rules_.preempt_hold;
  return true;
}

void pass_state::try_variant(std::size_t index, const variant& one) {
  job_state& job = jobs_[index];
  if (job.left.empty() || job.waits_for_room) return;
  if (place(job, one)) return;
  // Pools of one tier are alike: all of them are tried for free room before any is cleared.
  const bool last_of_tier =
      one.rank + 1 == job.set->variants.size() || job.set->variants[one.rank + 1].tier != one.tier;
  if (!last_of_tier) return;
  for (const auto& sibling : job.set->variants) {
    if (sibling.tier != one.tier || !sibling.active) continue;
    if (preempt(job, sibling)) {
      // The higher variant wins even by preempting: lower ones wait for its outcome.
      job.waits_for_room = true;
      return;
    }
  }
}

void pass_state::race() {
  const auto later = [this](const heap_entry& a, const heap_entry& b) {
    const auto& x = *jobs_[a.job].view;
    const auto& y = *jobs_[b.job].view;
    if (x.level != y.level) return x.level < y.level;
    if (x.created_ms != y.created_ms) return x.created_ms > y.created_ms;
    if (x.id != y.id) return x.id > y.id;
    return jobs_[a.job].set->variants[a.variant].rank > jobs_[b.job].set->variants[b.variant].rank;
  };
  using heap = std::priority_queue<heap_entry, std::vector<heap_entry>, decltype(later)>;
  std::vector<heap> queues(world_.teams.size(), heap(later));
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    if (jobs_[i].left.empty()) continue;
    for (std::size_t v = 0; v < jobs_[i].set->variants.size(); ++v) {
      if (jobs_[i].set->variants[v].active) queues[jobs_[i].view->team].push({i, v});
    }
  }
  // One variant per cycle and team queue; within a cycle, work inside a guarantee goes first.
  for (bool any = true; any;) {
    any = false;
    std::vector<heap_entry> heads;
    for (auto& queue : queues) {
      while (!queue.empty() && jobs_[queue.top().job].left.empty()) queue.pop();
      if (queue.empty()) continue;
      heads.push_back(queue.top());
      queue.pop();
      any = true;
    }
    const auto order = [this](const heap_entry& entry) {
      const auto& job = jobs_[entry.job];
      const double tasks = job.view->gang ? static_cast<double>(job.left.size()) : 1;
      return std::make_tuple(within_guarantee(job, tasks) ? 0 : 1,
                             -static_cast<int>(job.view->level), job.view->created_ms);
    };
    std::sort(heads.begin(), heads.end(),
              [&](const heap_entry& a, const heap_entry& b) { return order(a) < order(b); });
    for (const auto& head : heads)
      try_variant(head.job, jobs_[head.job].set->variants[head.variant]);
  }
}

/// A running job moves to a better pool only into room that is free, never by preempting or
/// borrowing, and only when its owner expects enough still to run: the deletion delay counts from
/// admission and alone would let it kill work that is nearly done.
void pass_state::upgrade() {
  for (auto& job : jobs_) {
    const auto& view = *job.view;
    if (!view.waiting.empty() || view.held_back || view.placed.empty()) continue;
    if (stopped_.count(view.id) != 0) continue;
    if (view.checkpoint <= duration::zero()) continue;
    for (const auto& one : job.set->variants) {
      if (!one.active) continue;
      std::vector<std::uint32_t> moving;
      bool settled = true;
      for (const auto& place : view.placed) {
        if (place.stopping || !place.running) settled = false;
        const bool better =
            place.where.type == one.where.type && place.where.spot == one.where.spot;
        if (better || view.estimate - place.ran < owner_.rules_.upgrade_min_left) continue;
        moving.push_back(place.task);
      }
      if (!settled) break;
      if (moving.empty() || (view.gang && moving.size() != view.placed.size())) continue;
      const auto& team = world_.teams[view.team];
      const bool borrows = (team.cpus > 0 && used_[view.team].cpus > team.cpus + 1e-6) ||
                           (team.gpus > 0 && used_[view.team].gpus > team.gpus + 1e-6);
      if (borrows) continue;
      // Eviction comes first: the old place is given up, the new one only kept free.
      auto machines = machines_;
      job_state probe = job;
      probe.in_zone.clear();
      std::vector<std::string> kept;
      for (std::size_t i = 0; i < moving.size(); ++i) {
        machine_state* machine = pick(probe, one.where);
        if (machine == nullptr) break;
        machine->free -= view.need;
        ++probe.in_zone[machine->view->where.zone];
        kept.push_back(machine->view->name);
      }
      if (kept.size() < moving.size()) {
        machines_ = std::move(machines);
        continue;
      }
      for (const auto& name : kept)
        owner_.reserved_[name] = {view.id, world_.now + owner_.rules_.preempt_hold};
      stopped_.insert(view.id);
      out_.stops.push_back({view.id, moving, stop_reason::upgraded, view.id});
      break;
    }
  }
}

/// Where a variant's next machine is rented: the allowed zone with the fewest machines of its kind,
/// so that the loss of a zone takes no more than its share.
std::optional<pool> pass_state::emptiest(const machine_type& type, const pool& where,
                                         const job_state& job,
                                         const std::map<pool, std::uint32_t>& held) const {
  std::optional<pool> best;
  std::uint32_t least = 0;
  for (const auto& zone : type.zones) {
    if (!where.zone.empty() && where.zone != zone) continue;
    const pool one{type.name, zone, where.spot};
    if (world_.refused.count(one) != 0 || !zone_allows(job, zone)) continue;
    const auto found = held.find(one);
    const std::uint32_t there = found == held.end() ? 0 : found->second;
    if (best && there >= least) continue;
    best = one;
    least = there;
  }
  return best;
}

/// Packs what still waits on the machines that are starting, then on machines to rent, in the best
/// pool of each job that was not refused lately.
void pass_state::demand() {
  struct bin {
    pool where;
    resources free;
    std::string name;  // empty: to be rented
  };
  std::vector<bin> bins;
  std::map<pool, std::uint32_t> held;
  for (const auto& view : world_.machines) ++held[view.where];
  for (const auto& [name, machine] : machines_) {
    if (machine.view->starting) bins.push_back({machine.view->where, machine.free, name});
  }
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    if (!jobs_[i].left.empty() && !jobs_[i].waits_for_room) order.push_back(i);
  }
  std::sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
    const auto& x = *jobs_[a].view;
    const auto& y = *jobs_[b].view;
    return std::make_tuple(-static_cast<int>(x.level), x.created_ms, x.id) <
           std::make_tuple(-static_cast<int>(y.level), y.created_ms, y.id);
  });
  for (const auto index : order) {
    auto& job = jobs_[index];
    for (const auto task : job.left) {
      (void)task;
      if (!quota_allows(job, 1)) break;
      bin* target = nullptr;
      for (const auto& one : job.set->variants) {
        if (!one.active) continue;
        for (auto& candidate : bins) {
          const bool same = candidate.where.type == one.where.type &&
                            candidate.where.spot == one.where.spot &&
                            (one.where.zone.empty() || one.where.zone == candidate.where.zone);
          if (!same || !job.view->need.fits_in(candidate.free)) continue;
          if (!zone_allows(job, candidate.where.zone)) continue;
          if (target == nullptr || candidate.free.gpus < target->free.gpus) target = &candidate;
        }
        if (target != nullptr) break;
      }
      if (target == nullptr) {
        for (const auto& one : job.set->variants) {
          if (!one.active) continue;
          if (one.tier > 0 && world_.now - job.set->created < owner_.rules_.rent_delay) continue;
          for (const auto& type : world_.types) {
            if (type.name != one.where.type || target != nullptr) continue;
            const auto where = emptiest(type, one.where, job, held);
            if (!where) continue;
            bins.push_back({*where, type.size, ""});
            ++out_.rent[*where];
            ++held[*where];
            target = &bins.back();
          }
          if (target != nullptr) break;
        }
      }
      if (target == nullptr) break;
      target->free -= job.view->need;
      used_[job.view->team] += job.view->need;
      ++job.in_zone[target->where.zone];
      if (!target->name.empty()) out_.expected.insert(target->name);
    }
  }
}

}  // namespace gingerdrift::admission
