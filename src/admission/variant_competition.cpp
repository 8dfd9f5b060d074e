#include "admission/variant_competition.hpp"

namespace gingerdrift::admission {

bool variant_competition::comes_later::operator()(const queue_entry& left,
                                                  const queue_entry& right) const {
  const cycle_job& left_job = (*jobs)[left.job];
  const cycle_job& right_job = (*jobs)[right.job];
  if (left.job != right.job) return precedes(*right_job.view, *left_job.view);
  return left_job.admission->variants[left.variant].rank >
         right_job.admission->variants[right.variant].rank;
}

std::vector<variant_competition::team_queue> variant_competition::fill_queues() const {
  std::vector<team_queue> queues(cycle_.input.teams.size(), team_queue(comes_later{&cycle_.jobs}));
  for (std::size_t i = 0; i < cycle_.jobs.size(); ++i) {
    const cycle_job& job = cycle_.jobs[i];
    if (job.unplaced.empty()) continue;
    for (std::size_t v = 0; v < job.admission->variants.size(); ++v) {
      if (job.admission->variants[v].active) queues[job.view->team].push({i, v});
    }
  }
  return queues;
}

/// Removes from each queue the first variant whose job still has unplaced tasks, and returns these.
std::vector<variant_competition::queue_entry> variant_competition::pop_heads(
    std::vector<team_queue>& queues) const {
  std::vector<queue_entry> heads;
  for (auto& queue : queues) {
    while (!queue.empty() && cycle_.jobs[queue.top().job].unplaced.empty()) queue.pop();
    if (queue.empty()) continue;
    heads.push_back(queue.top());
    queue.pop();
  }
  return heads;
}

variant_competition::head_order variant_competition::order_of(const queue_entry& head) const {
  const cycle_job& job = cycle_.jobs[head.job];
  return {!cycle_.quota.within_guarantee(*job.view, job.tasks_at_once()),
          -static_cast<int>(job.view->level), job.view->created_ms};
}

void variant_competition::run() {
  auto queues = fill_queues();
  for (auto heads = pop_heads(queues); !heads.empty(); heads = pop_heads(queues)) {
    std::sort(heads.begin(), heads.end(),
              [this](const queue_entry& left, const queue_entry& right) {
                return order_of(left) < order_of(right);
              });
    for (const auto& head : heads) {
      cycle_job& job = cycle_.jobs[head.job];
      try_variant(job, job.admission->variants[head.variant]);
    }
  }
}

void variant_competition::try_variant(cycle_job& job, const variant& candidate) {
  if (job.unplaced.empty() || job.awaits_preemption) return;
  if (admit(job, candidate.target)) return;
  // The pools of one tier are equally good: free capacity is sought in all of them before tasks are
  // preempted in any.
  const auto& variants = job.admission->variants;
  const bool last_of_tier =
      candidate.rank + 1 == variants.size() || variants[candidate.rank + 1].tier != candidate.tier;
  // A higher variant takes precedence even if it has to preempt: the lower ones wait for its
  // result.
  if (last_of_tier && preempt_in_tier(job, candidate.tier)) job.awaits_preemption = true;
}

bool variant_competition::preempt_in_tier(cycle_job& job, std::uint32_t tier) {
  for (const auto& sibling : job.admission->variants) {
    if (sibling.tier != tier || !sibling.active) continue;
    if (preemption_.try_preempt(job, sibling)) return true;
  }
  return false;
}

/// Places all tasks of a gang or none, and as many tasks of an array as fit. The remaining tasks of
/// an array keep competing as if they were the whole job. Reports whether all tasks were placed.
bool variant_competition::admit(cycle_job& job, const pool& target) {
  const auto tasks = job.tasks_at_once();
  if (!cycle_.quota.limit_allows(*job.view, tasks)) return false;
  const bool unrestricted = placement_.is_unrestricted(job);
  const auto search = capacity_search_key(job, target);
  if (unrestricted && failed_capacity_searches_.includes(search, tasks)) return false;
  const auto outcome = job.view->gang ? place_gang(job, target) : place_array(job, target);
  if (unrestricted && outcome == placement_outcome::no_capacity)
    failed_capacity_searches_.add(search, tasks);
  return outcome == placement_outcome::complete;
}

variant_competition::placement_outcome variant_competition::place_gang(cycle_job& job,
                                                                       const pool& target) {
  const auto& need = job.view->need;
  const auto tasks_per_zone_before = job.tasks_per_zone;
  std::vector<std::size_t> machines;
  std::size_t machine = capacity_index::no_machine;
  while (machines.size() < job.unplaced.size()) {
    machine = next_machine(job, target, machine);
    if (machine == capacity_index::no_machine) break;
    cycle_.capacity.allocate(machine, need);
    ++job.tasks_per_zone[cycle_.capacity.zone(machine)];
    machines.push_back(machine);
  }
  if (machines.size() < job.unplaced.size()) {
    for (const auto allocated : machines) cycle_.capacity.release(allocated, need);
    job.tasks_per_zone = tasks_per_zone_before;
    return placement_outcome::no_capacity;
  }
  for (std::size_t i = 0; i < machines.size(); ++i) start(job, machines[i], job.unplaced[i]);
  job.unplaced.clear();
  return placement_outcome::complete;
}

variant_competition::placement_outcome variant_competition::place_array(cycle_job& job,
                                                                        const pool& target) {
  auto outcome = placement_outcome::complete;
  auto next_task = job.unplaced.begin();
  std::size_t machine = capacity_index::no_machine;
  while (next_task != job.unplaced.end()) {
    if (!cycle_.quota.limit_allows(*job.view, 1)) {
      outcome = placement_outcome::limit_reached;
      break;
    }
    machine = next_machine(job, target, machine);
    if (machine == capacity_index::no_machine) {
      outcome = placement_outcome::no_capacity;
      break;
    }
    cycle_.capacity.allocate(machine, job.view->need);
    ++job.tasks_per_zone[cycle_.capacity.zone(machine)];
    start(job, machine, *next_task++);
  }
  job.unplaced.erase(job.unplaced.begin(), next_task);
  return outcome;
}

/// Returns the machine for the next task. The machine of the previous task is now the fullest one
/// of its kind and therefore the best choice for as long as another task fits on it.
std::size_t variant_competition::next_machine(const cycle_job& job, const pool& target,
                                              std::size_t last) {
  const bool last_fits = last != capacity_index::no_machine &&
                         job.view->need.fits_in(cycle_.capacity.machine(last).free) &&
                         job.allows_zone(cycle_.capacity.zone(last));
  return last_fits ? last : placement_.best_fit(job, target);
}

void variant_competition::start(cycle_job& job, std::size_t machine, std::uint32_t task) {
  cycle_.quota.add_started_task(*job.view);
  if (!job.admission->admitted_at) job.admission->admitted_at = cycle_.input.now;
  cycle_.result.starts.push_back({job.view->id, task, cycle_.capacity.machine(machine).view->name});
}

}  // namespace gingerdrift::admission
