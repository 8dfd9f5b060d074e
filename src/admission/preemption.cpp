#include <deque>

#include "admission/pass_state.hpp"

namespace gingerdrift::admission {

/// What stopping one task wastes: seconds of the room it holds. A task that has only just been
/// placed is dear, though it has no progress to lose: its image was fetched for nothing, and jobs
/// that were stopped before they could begin, time after time, once kept a full fleet busy with
/// nothing but fetching.
double pass_state::loss(const job_view& job, const placed_view& place) const {
  constexpr double new_start = 5;
  constexpr double just_begun = 30;
  const double size = job.need.gpus > 0 ? job.need.gpus : job.need.cpus;
  // One task of an array finds a place again by itself, mostly with its image; a gang has to find
  // all of its machines at once, and fetch on each.
  const double again = job.gang ? new_start + just_begun / 2 : new_start;
  if (!place.running) return (job.gang ? again + just_begun : again) * size;
  const double ran = to_seconds(world_.now - place.running_since);
  const double left = to_seconds(job.estimate) - ran;
  double seconds_lost = ran;
  // A stop with enough grace keeps the progress but costs the saving and a new start.
  if (job.checkpoint > duration::zero()) seconds_lost = to_seconds(job.save) + ran * 0.02;
  if (!job.gang) return (again + seconds_lost) * size;
  if (ran < just_begun) seconds_lost += just_begun - ran;
  // What is about to end gives its room back by itself.
  if (left > 0 && left < just_begun) seconds_lost += just_begun - left;
  return (again + seconds_lost) * size;
}

/// What runs where, written down once per pass and only when somebody looks for victims.
void pass_state::index_places() {
  if (indexed_) return;
  indexed_ = true;
  places_.resize(room_.size());
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    const auto& placed = jobs_[i].view->placed;
    for (std::size_t k = 0; k < placed.size(); ++k) {
      if (placed[k].stopping) continue;
      const auto machine = room_.find(placed[k].machine);
      if (machine != room_index::none) places_[machine].emplace_back(i, k);
    }
  }
}

/// Everything that may be stopped on a machine for this job, cheapest first.
void pass_state::victims_on(std::size_t machine, const job_state& job,
                            std::vector<victim>& out) const {
  out.clear();
  for (const auto& [index, number] : places_[machine]) {
    const auto& other = *jobs_[index].view;
    if (other.id == job.view->id || stopped_.count(other.id) != 0) continue;
    const bool again = other.gang && !out.empty() && out.back().job == index;
    if (again) continue;
    const double size = other.gang ? static_cast<double>(other.placed.size()) : 1;
    out.push_back({index, number, loss(other, other.placed[number]) * size});
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const victim& a, const victim& b) { return a.cost < b.cost; });
}

/// Chooses what to stop on one machine so that one task more fits; nullopt when nothing may be.
/// Gangs in `told` are stopped anyway, for another machine of the same job.
std::optional<pass_state::clearing> pass_state::clear(std::size_t machine, const job_state& job,
                                                      bool guaranteed,
                                                      const std::vector<resources>& used,
                                                      const std::set<std::size_t>& told) const {
  clearing out{machine, room_.at(machine).free, {}, 0, used};
  // Array tasks are short and end one by one: places come free sooner than they can be cleared, and
  // clearing them for each other's guarantees only wastes work.
  const bool for_guarantee = job.view->gang && guaranteed;
  out.free += room_.at(machine).leaving;
  const auto& need = job.view->need;
  if (need.fits_in(out.free)) return out;
  std::vector<victim> candidates;
  victims_on(machine, job, candidates);
  const auto leaves = [&](const victim& one) {
    for (const auto& [index, number] : places_[machine]) {
      if (index == one.job && (jobs_[index].view->gang || number == one.place))
        out.free += jobs_[index].view->need;
    }
  };
  for (const auto& one : candidates) {
    if (told.count(one.job) != 0) leaves(one);
  }
  for (const auto& one : candidates) {
    if (need.fits_in(out.free)) break;
    if (told.count(one.job) != 0) continue;
    const auto& other = *jobs_[one.job].view;
    const resources amount =
        other.need.times(other.gang ? static_cast<double>(other.placed.size()) : 1);
    const bool own = other.team == job.view->team;
    const bool lent = !own && borrowed(other.team, amount, out.used[other.team]);
    // Who borrows clears only what others borrow. When it could clear guaranteed work of a lower
    // priority, that work's team took its guarantee back at once, from the very same job, and the
    // two stopped each other, before either had begun, for as long as both waited.
    const bool lower = other.level < job.view->level && (own || lent || guaranteed);
    if (!lower && !(lent && for_guarantee)) continue;
    leaves(one);
    out.used[other.team] -= amount;
    out.cost += one.cost;
    out.victims.push_back(one);
  }
  if (!need.fits_in(out.free)) return std::nullopt;
  return out;
}

std::vector<std::uint32_t> pass_state::tasks_of(const victim& one) const {
  const auto& view = *jobs_[one.job].view;
  if (!view.gang) return {view.placed[one.place].task};
  std::vector<std::uint32_t> out;
  for (const auto& mate : view.placed) out.push_back(mate.task);
  return out;
}

void pass_state::stop(const victim& one, const job_state& job) {
  auto& other = jobs_[one.job];
  if (other.view->gang && !stopped_.insert(other.view->id).second) return;
  out_.stops.push_back({other.view->id, tasks_of(one), stop_reason::preempted, job.view->id});
  owner_.book_.reset(other.view->id, world_.now);
  other.left.clear();
  // It leaves: nobody may count on stopping it a second time.
  const auto leave = [&](std::size_t number) {
    const auto machine = room_.find(other.view->placed[number].machine);
    if (machine == room_index::none) return;
    std::erase(places_[machine], std::make_pair(one.job, number));
    room_.at(machine).leaving += other.view->need;
  };
  if (!other.view->gang) return leave(one.place);
  for (std::size_t k = 0; k < other.view->placed.size(); ++k) {
    if (!other.view->placed[k].stopping) leave(k);
  }
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
  for (std::size_t i = 0; i < jobs_.size(); ++i) {
    const auto& other = *jobs_[i].view;
    if (other.team != job.view->team || !(other.level < job.view->level)) continue;
    if (stopped_.count(other.id) != 0) continue;
    for (std::size_t k = 0; k < other.placed.size(); ++k) {
      if (other.placed[k].stopping) continue;
      const double size = other.gang ? static_cast<double>(other.placed.size()) : 1;
      all.push_back({i, k, loss(other, other.placed[k]) * size});
      if (other.gang) break;
    }
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const victim& a, const victim& b) { return a.cost < b.cost; });
  resources left = settled_[job.view->team];
  std::vector<victim> chosen;
  for (const auto& candidate : all) {
    if (fits(left)) break;
    const auto& other = *jobs_[candidate.job].view;
    left -= other.need.times(other.gang ? static_cast<double>(other.placed.size()) : 1);
    chosen.push_back(candidate);
  }
  if (!fits(left)) return false;
  settled_[job.view->team] = left;
  settled_[job.view->team] += job.view->need.times(tasks);
  for (const auto& victim_of_quota : chosen) stop(victim_of_quota, job);
  job.set->preempting = one.rank;
  job.set->preempting_until = world_.now + owner_.rules_.preempt_hold;
  return true;
}

/// Room was cleared for it in an earlier pass, and whoever was told is still leaving.
bool pass_state::waits_for_leavers(job_state& job, const variant& one, std::uint32_t wanted) {
  const auto kept = kept_.find(job.view->id);
  if (kept == kept_.end() || !quota_allows(job, wanted)) return false;
  const auto& groups = room_.groups(one.where);
  job_state probe = job;
  std::uint32_t coming = 0;
  std::vector<std::size_t> machines;
  for (const auto machine : kept->second) {
    const auto& at = room_.at(machine);
    if (!usable(machine, probe) ||
        std::find(groups.begin(), groups.end(), at.group) == groups.end())
      continue;
    resources free = at.free;
    free += at.leaving;
    const auto before = coming;
    while (coming < wanted && job.view->need.fits_in(free)) {
      free -= job.view->need;
      ++probe.in_zone[at.view->where.zone];
      ++coming;
    }
    if (coming > before) machines.push_back(machine);
  }
  if (coming < wanted) return false;
  for (const auto machine : machines) keep(machine, job);
  settled_[job.view->team] += job.view->need.times(wanted);
  job.set->preempting = one.rank;
  job.set->preempting_until = world_.now + owner_.rules_.preempt_hold;
  return true;
}

bool pass_state::preempt(job_state& job, const variant& one) {
  // At most one variant of a job preempts at a time.
  if (job.set->preempting && *job.set->preempting != one.rank) return false;
  const auto wanted = static_cast<std::uint32_t>(job.view->gang ? job.left.size() : 1);
  const bool guaranteed = within_guarantee(job, wanted);
  if (!(guaranteed && job.view->gang) && job.view->level == priority::low) return false;
  if (waits_for_leavers(job, one, wanted)) return true;
  auto what = describe(job, one.where);
  what.level = job.view->level;
  what.team = 2 * job.view->team + (guaranteed ? 1 : 0);
  const bool ordinary = plain(job);
  if (ordinary && searched(no_victims_, what, wanted)) return false;
  // A pass is bounded: who comes too late for a search in this one is first in a later one.
  if (preemptions_ >= owner_.rules_.preemptions) return false;
  ++preemptions_;
  index_places();
  if (!quota_allows(job, wanted)) return clear_quota(job, one, wanted);

  std::vector<std::pair<double, std::size_t>> candidates;
  std::vector<resources> used = settled_;
  std::set<std::size_t> told;
  for (const auto number : room_.groups(one.where)) {
    for (const auto machine : room_.of(number).members) {
      if (!usable(machine, job)) continue;
      if (const auto found = clear(machine, job, guaranteed, used, told))
        candidates.emplace_back(found->cost, machine);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  std::deque<std::size_t> next;
  for (const auto& [cost, machine] : candidates) next.push_back(machine);

  job_state probe = job;
  std::set<std::size_t> chosen;
  std::vector<victim> victims;
  std::uint32_t cleared = 0;
  while (!next.empty() && cleared < job.left.size() && quota_allows(job, cleared + 1)) {
    const std::size_t machine = next.front();
    next.pop_front();
    if (chosen.count(machine) != 0) continue;
    if (!zone_allows(probe, room_.at(machine).view->where.zone)) continue;
    auto found = clear(machine, job, guaranteed, used, told);
    if (!found) continue;
    chosen.insert(machine);
    while (cleared < job.left.size() && quota_allows(job, cleared + 1) &&
           job.view->need.fits_in(found->free) &&
           zone_allows(probe, room_.at(machine).view->where.zone)) {
      found->free -= job.view->need;
      ++probe.in_zone[room_.at(machine).view->where.zone];
      ++cleared;
    }
    used = std::move(found->used);
    for (const auto& one_victim : found->victims) {
      victims.push_back(one_victim);
      const auto& other = *jobs_[one_victim.job].view;
      if (!other.gang || !told.insert(one_victim.job).second) continue;
      // The machines of a gang that stops anyway cost nothing more.
      for (const auto& mate : other.placed) {
        const auto beside = room_.find(mate.machine);
        if (beside == room_index::none || !usable(beside, job)) continue;
        const auto& groups = room_.groups(one.where);
        if (std::find(groups.begin(), groups.end(), room_.at(beside).group) != groups.end())
          next.push_front(beside);
      }
    }
  }
  if (cleared == 0 || (job.view->gang && cleared < job.left.size())) {
    if (ordinary) no_victims_[what] = wanted;
    return false;
  }
  settled_ = std::move(used);
  settled_[job.view->team] += job.view->need.times(static_cast<double>(cleared));
  for (const auto machine : chosen) keep(machine, job);
  for (const auto& one_victim : victims) stop(one_victim, job);
  job.set->preempting = one.rank;
  job.set->preempting_until = world_.now + owner_.rules_.preempt_hold;
  return true;
}

}  // namespace gingerdrift::admission
