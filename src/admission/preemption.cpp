#include "admission/preemption.hpp"

namespace gingerdrift::admission {

bool preemption::try_preempt(cycle_job& job, const variant& candidate) {
  // At most one variant of a job preempts at a time.
  const auto& preempting_rank = job.admission->preempting_rank;
  if (preempting_rank && *preempting_rank != candidate.rank) return false;
  const auto tasks = job.tasks_at_once();
  const bool guaranteed = cycle_.quota.within_guarantee(*job.view, tasks);
  if (!can_have_victims(job, guaranteed)) return false;
  if (await_earlier_victims(job, candidate)) return true;

  auto search = capacity_search_key(job, candidate.target);
  search.level = job.view->level;
  search.team = job.view->team;
  search.guaranteed = guaranteed;
  const bool unrestricted = placement_.is_unrestricted(job);
  if (unrestricted && failed_victim_searches_.includes(search, tasks)) return false;
  // The number of searches bounds the duration of a cycle. Jobs that get no search in this cycle
  // get one in a later cycle.
  if (victim_searches_ >= cycle_.rules.max_victim_searches) return false;
  ++victim_searches_;
  placed_tasks_.build(cycle_);
  if (!cycle_.quota.limit_allows(*job.view, tasks)) return preempt_for_team_limit(job, candidate);
  if (preempt_for_capacity(job, candidate, guaranteed)) return true;
  if (unrestricted) failed_victim_searches_.add(search, tasks);
  return false;
}

/// Reports whether the job could preempt anything: no job has a lower priority than `low`, and only
/// gangs preempt on grounds of a guarantee.
bool preemption::can_have_victims(const cycle_job& job, bool guaranteed) const {
  return job.view->level != priority::low || (guaranteed && job.view->gang);
}

void preemption::mark_preempting(cycle_job& job, const variant& candidate) const {
  job.admission->preempting_rank = candidate.rank;
  job.admission->preempting_until = cycle_.input.now + cycle_.rules.reservation_ttl;
}

/// Checks whether tasks were preempted for the job in an earlier cycle and are still stopping. If
/// so, renews the reservations of their machines and returns true.
bool preemption::await_earlier_victims(cycle_job& job, const variant& candidate) {
  const auto tasks = job.tasks_at_once();
  if (cycle_.reservations.machines_of(job.view->id).empty()) return false;
  if (!cycle_.quota.limit_allows(*job.view, tasks)) return false;
  const auto machines = machines_of_earlier_victims(job, candidate.target);
  if (!machines) return false;
  for (const auto machine : *machines) cycle_.reservations.reserve(machine, job.view->id);
  cycle_.quota.add_tasks_awaiting_preemption(*job.view, tasks);
  mark_preempting(job, candidate);
  return true;
}

/// Returns the machines reserved for the job on which enough of its tasks will fit once the
/// stopping tasks have ended; nullopt if too few will fit.
std::optional<std::vector<std::size_t>> preemption::machines_of_earlier_victims(
    const cycle_job& job, const pool& target) {
  const auto& groups = cycle_.capacity.groups_of(target);
  const auto tasks = job.tasks_at_once();
  const auto& need = job.view->need;
  cycle_job placed_job = job;
  std::uint32_t tasks_that_fit = 0;
  std::vector<std::size_t> machines;
  for (const auto machine : cycle_.reservations.machines_of(job.view->id)) {
    const auto& slot = cycle_.capacity.machine(machine);
    if (!placement_.is_usable(machine, placed_job) ||
        !cycle_.capacity.is_in_groups(machine, groups))
      continue;
    resources free = slot.free;
    free += slot.held_by_stopping_tasks;
    const auto before = tasks_that_fit;
    while (tasks_that_fit < tasks && need.fits_in(free)) {
      free -= need;
      ++placed_job.tasks_per_zone[slot.view->pool.zone];
      ++tasks_that_fit;
    }
    if (tasks_that_fit > before) machines.push_back(machine);
  }
  if (tasks_that_fit < tasks) return std::nullopt;
  return machines;
}

/// Preempts tasks of the job's own team that have a lower priority, because the team is at its
/// limit.
bool preemption::preempt_for_team_limit(cycle_job& job, const variant& candidate) {
  const job_view& view = *job.view;
  const double tasks = job.tasks_at_once();
  resources usage = cycle_.quota.projected()[view.team];
  std::vector<victim> victims;
  for (const auto& lower : lower_priority_victims_of_team(view)) {
    if (cycle_.quota.limit_allows(view, tasks, usage)) break;
    usage -= freed_by_stopping(*cycle_.jobs[lower.task.job].view);
    victims.push_back(lower);
  }
  if (!cycle_.quota.limit_allows(view, tasks, usage)) return false;
  cycle_.quota.set_projected(view.team, usage);
  cycle_.quota.add_tasks_awaiting_preemption(view, tasks);
  for (const auto& victim : victims) stop(victim, view);
  mark_preempting(job, candidate);
  return true;
}

/// Returns the tasks of the job's own team that have a lower priority, cheapest first, each gang
/// once.
std::vector<victim> preemption::lower_priority_victims_of_team(const job_view& job) const {
  std::vector<victim> victims;
  for (std::size_t i = 0; i < cycle_.jobs.size(); ++i) {
    const job_view& other = *cycle_.jobs[i].view;
    if (other.team != job.team || !(other.level < job.level)) continue;
    if (cycle_.stopped_jobs.count(other.id) != 0) continue;
    for (std::size_t place = 0; place < other.placed.size(); ++place) {
      if (other.placed[place].stopping) continue;
      victims.push_back(make_victim(other, {i, place}, cycle_.input.now));
      if (other.gang) break;
    }
  }
  sort_by_cost(victims);
  return victims;
}

bool preemption::preempt_for_capacity(cycle_job& job, const variant& candidate, bool guaranteed) {
  const victim_selector selector(cycle_, placed_tasks_, job, guaranteed);
  auto plan = plan_victims(job, candidate.target, selector);
  if (plan.tasks == 0 || (job.view->gang && plan.tasks < job.unplaced.size())) return false;
  cycle_.quota.set_projected(std::move(plan.projected));
  cycle_.quota.add_tasks_awaiting_preemption(*job.view, plan.tasks);
  for (const auto machine : plan.machines) cycle_.reservations.reserve(machine, job.view->id);
  for (const auto& victim : plan.victims) stop(victim, *job.view);
  mark_preempting(job, candidate);
  return true;
}

/// Selects victims machine by machine, the cheapest machine first, until all unplaced tasks fit or
/// the limit of the team is reached.
preemption::preemption_plan preemption::plan_victims(const cycle_job& job, const pool& target,
                                                     const victim_selector& selector) {
  preemption_plan plan;
  plan.projected = cycle_.quota.projected();
  auto queue = cheapest_machines(job, target, selector);
  cycle_job placed_job = job;
  while (!queue.empty() && plan.tasks < job.unplaced.size() &&
         cycle_.quota.limit_allows(*job.view, plan.tasks + 1)) {
    const std::size_t machine = queue.front();
    queue.pop_front();
    if (plan.machines.count(machine) != 0) continue;
    if (!placed_job.allows_zone(cycle_.capacity.zone(machine))) continue;
    auto machine_plan = selector.select(machine, plan.projected, plan.stopping_gangs);
    if (!machine_plan) continue;
    plan.machines.insert(machine);
    fill_machine(machine, machine_plan->free, placed_job, plan);
    plan.projected = std::move(machine_plan->projected);
    for (const auto& victim : machine_plan->victims) {
      plan.victims.push_back(victim);
      const job_view& other = *cycle_.jobs[victim.task.job].view;
      if (other.gang && plan.stopping_gangs.insert(victim.task.job).second)
        prefer_machines_of_gang(other, job, target, queue);
    }
  }
  return plan;
}

std::deque<std::size_t> preemption::cheapest_machines(const cycle_job& job, const pool& target,
                                                      const victim_selector& selector) {
  std::vector<machine_cost> costs;
  for (const auto group : cycle_.capacity.groups_of(target)) {
    for (const auto machine : cycle_.capacity.group(group).machines) {
      if (!placement_.is_usable(machine, job)) continue;
      if (const auto machine_plan = selector.select(machine, cycle_.quota.projected(), {}))
        costs.push_back({machine_plan->cost, machine});
    }
  }
  std::sort(costs.begin(), costs.end());
  std::deque<std::size_t> machines;
  for (const auto& entry : costs) machines.push_back(entry.machine);
  return machines;
}

/// Adds to the plan as many tasks of the job as fit in the `free` resources of the machine.
void preemption::fill_machine(std::size_t machine, resources free, cycle_job& job,
                              preemption_plan& plan) const {
  const zone_name& zone = cycle_.capacity.zone(machine);
  while (plan.tasks < job.unplaced.size() && cycle_.quota.limit_allows(*job.view, plan.tasks + 1) &&
         job.view->need.fits_in(free) && job.allows_zone(zone)) {
    free -= job.view->need;
    ++job.tasks_per_zone[zone];
    ++plan.tasks;
  }
}

/// Moves the other machines of a gang that is already a victim to the front of the queue, because
/// its capacity there costs nothing more.
void preemption::prefer_machines_of_gang(const job_view& gang, const cycle_job& job,
                                         const pool& target, std::deque<std::size_t>& queue) {
  const auto& groups = cycle_.capacity.groups_of(target);
  for (const auto& task : gang.placed) {
    const auto machine = cycle_.capacity.find(task.machine);
    if (machine == capacity_index::no_machine || !placement_.is_usable(machine, job)) continue;
    if (cycle_.capacity.is_in_groups(machine, groups)) queue.push_front(machine);
  }
}

std::vector<std::uint32_t> preemption::tasks_of(const victim& victim) const {
  const job_view& view = *cycle_.jobs[victim.task.job].view;
  if (!view.gang) return {view.placed[victim.task.place].task};
  std::vector<std::uint32_t> tasks;
  for (const auto& task : view.placed) tasks.push_back(task.task);
  return tasks;
}

void preemption::stop(const victim& victim, const job_view& beneficiary) {
  cycle_job& job = cycle_.jobs[victim.task.job];
  const job_view& view = *job.view;
  if (view.gang && !cycle_.stopped_jobs.insert(view.id).second) return;
  cycle_.result.stops.push_back(
      {view.id, tasks_of(victim), stop_reason::preempted, beneficiary.id});
  cycle_.variants.reset(view.id, cycle_.input.now);
  job.unplaced.clear();
  if (!view.gang) {
    mark_stopping(victim.task);
    return;
  }
  for (std::size_t place = 0; place < view.placed.size(); ++place) {
    if (!view.placed[place].stopping) mark_stopping({victim.task.job, place});
  }
}

/// Removes the task from the candidates for preemption, so that it isn't selected a second time,
/// and counts its resources as held by a stopping task.
void preemption::mark_stopping(const placed_task& task) {
  const job_view& view = *cycle_.jobs[task.job].view;
  const auto machine = cycle_.capacity.find(view.placed[task.place].machine);
  if (machine == capacity_index::no_machine) return;
  placed_tasks_.remove(machine, task);
  cycle_.capacity.machine(machine).held_by_stopping_tasks += view.need;
}

}  // namespace gingerdrift::admission
