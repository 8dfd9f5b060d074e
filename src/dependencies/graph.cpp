#include "dependencies/graph.hpp"

#include <algorithm>
#include <deque>
#include <unordered_set>
#include <utility>

namespace gingerdrift::dependencies {

graph::event_effects graph::add(const job_id& job, admission::priority own_priority,
                                const std::vector<job_id>& dependencies) {
  event_effects effects;
  if (is_waiting(job)) return effects;
  start_waiting(job, own_priority);
  bool depends_on_cancelled = false;
  for (const auto& dependency : dependencies)
    depends_on_cancelled |= add_edge(job, dependency, effects) == job_progress::cancelled;
  // Dependents of this job may have been added before it: their priorities have to be passed on to
  // its dependencies.
  const auto propagated_priority = std::max(own_priority, nodes_.at(job).inherited_priority);
  for (const auto& dependency : dependencies) {
    // A new dependent can only raise the inherited priority, and usually leaves it unchanged.
    if (propagated_priority > nodes_.at(dependency).inherited_priority)
      update_inherited_priority(dependency, effects);
  }
  if (depends_on_cancelled) {
    cancel_descendants(job, effects);
  } else if (dependencies.empty()) {
    job_set former_dependencies;
    stop_waiting(job, former_dependencies);
    effects.ready.push_back(job);
  }
  return effects;
}

void graph::start_waiting(const job_id& job, admission::priority own_priority) {
  job_node& node = nodes_[job];
  node.is_waiting = true;
  node.own_priority = own_priority;
  node.progress = job_progress::unfinished;
  unknown_jobs_.erase(job);
  ++waiting_job_count_;
}

/// Makes `job` depend on `dependency`; returns the progress of the dependency.
job_progress graph::add_edge(const job_id& job, const job_id& dependency, event_effects& effects) {
  const auto [entry, is_new] = nodes_.try_emplace(dependency);
  if (is_new) {
    unknown_jobs_.insert(dependency);
    effects.newly_unknown.push_back(dependency);
  }
  entry->second.dependents.insert(job);
  nodes_.at(job).dependencies.insert(dependency);
  return entry->second.progress;
}

graph::event_effects graph::set_progress(const job_id& job, job_progress progress) {
  event_effects effects;
  const auto found = nodes_.find(job);
  if (found == nodes_.end()) return effects;
  found->second.progress = progress;
  if (progress == job_progress::unknown) {
    unknown_jobs_.insert(job);
  } else {
    unknown_jobs_.erase(job);
  }
  if (progress == job_progress::done) release_dependents(job, effects);
  if (progress == job_progress::cancelled) cancel_descendants(job, effects);
  return effects;
}

graph::event_effects graph::remove(const job_id& job) {
  event_effects effects;
  if (!is_waiting(job)) return effects;
  job_set former_dependencies;
  stop_waiting(job, former_dependencies);
  update_former_dependencies(former_dependencies, effects);
  return effects;
}

/// Removes the edges to the job's dependencies; those from its dependents remain.
void graph::stop_waiting(const job_id& job, job_set& former_dependencies) {
  job_node& node = nodes_.at(job);
  node.is_waiting = false;
  --waiting_job_count_;
  const auto dependencies = std::exchange(node.dependencies, {});
  for (const auto& dependency : dependencies) {
    const auto found = nodes_.find(dependency);
    if (found == nodes_.end()) continue;
    found->second.dependents.erase(job);
    former_dependencies.insert(dependency);
  }
  drop_if_unused(job);
}

/// Updates jobs that have lost dependents. They are collected first so that each is updated only
/// once, however many dependents it has lost.
void graph::update_former_dependencies(const job_set& former_dependencies, event_effects& effects) {
  for (const auto& job : former_dependencies) {
    if (nodes_.count(job) == 0) continue;
    update_inherited_priority(job, effects);
    drop_if_unused(job);
  }
}

void graph::release_dependents(const job_id& job, event_effects& effects) {
  const auto dependents = std::exchange(nodes_.at(job).dependents, {});
  job_set former_dependencies;
  for (const auto& dependent : dependents) {
    job_node& node = nodes_.at(dependent);
    node.dependencies.erase(job);
    if (!node.dependencies.empty()) continue;
    effects.ready.push_back(dependent);
    stop_waiting(dependent, former_dependencies);
  }
  drop_if_unused(job);
}

/// Cancels all waiting descendants in breadth-first order and removes them from the graph. The job
/// itself is cancelled too if it is waiting.
void graph::cancel_descendants(const job_id& job, event_effects& effects) {
  std::deque<job_id> queue{job};
  job_set visited{job};
  while (!queue.empty()) {
    const job_id current = queue.front();
    queue.pop_front();
    job_node& node = nodes_.at(current);
    if (node.is_waiting) effects.cancelled.push_back(current);
    // All dependents of a cancelled job are cancelled with it.
    for (const auto& dependent : std::exchange(node.dependents, {})) {
      if (visited.insert(dependent).second) queue.push_back(dependent);
    }
  }
  job_set former_dependencies;
  for (const auto& cancelled : effects.cancelled) stop_waiting(cancelled, former_dependencies);
  update_former_dependencies(former_dependencies, effects);
  drop_if_unused(job);
}

/// Sets the job's inherited priority to the highest priority of its dependents. Where that changes
/// it, the job's own dependencies are updated in the same way.
void graph::update_inherited_priority(const job_id& job, event_effects& effects) {
  std::deque<job_id> queue{job};
  while (!queue.empty()) {
    const job_id current = queue.front();
    queue.pop_front();
    job_node& node = nodes_.at(current);
    const auto highest = priority_of_dependents(node);
    if (highest == node.inherited_priority) continue;
    node.inherited_priority = highest;
    effects.priority_changed.push_back(current);
    queue.insert(queue.end(), node.dependencies.begin(), node.dependencies.end());
  }
}

admission::priority graph::priority_of_dependents(const job_node& node) const {
  auto highest = admission::priority::low;
  for (const auto& id : node.dependents) {
    const auto& dependent = nodes_.at(id);
    highest = std::max({highest, dependent.own_priority, dependent.inherited_priority});
  }
  return highest;
}

void graph::drop_if_unused(const job_id& job) {
  const auto found = nodes_.find(job);
  if (found == nodes_.end()) return;
  if (found->second.is_waiting || !found->second.dependents.empty()) return;
  nodes_.erase(found);
  unknown_jobs_.erase(job);
}

bool graph::is_waiting(const job_id& job) const {
  const auto found = nodes_.find(job);
  return found != nodes_.end() && found->second.is_waiting;
}

bool graph::has_dependents(const job_id& job) const {
  const auto found = nodes_.find(job);
  return found != nodes_.end() && !found->second.dependents.empty();
}

admission::priority graph::inherited_priority(const job_id& job) const {
  const auto found = nodes_.find(job);
  return found == nodes_.end() ? admission::priority::low : found->second.inherited_priority;
}

bool graph::all_ancestors_known(const job_id& job,
                                const std::function<bool(const job_id&)>& is_excluded) const {
  std::deque<job_id> queue{job};
  std::unordered_set<job_id> visited{job};
  while (!queue.empty()) {
    const auto current = nodes_.find(queue.front());
    queue.pop_front();
    if (current == nodes_.end()) continue;
    for (const auto& dependency : current->second.dependencies) {
      if (!visited.insert(dependency).second) continue;
      if (nodes_.at(dependency).progress != job_progress::unfinished || is_excluded(dependency))
        return false;
      queue.push_back(dependency);
    }
  }
  return true;
}

std::vector<job_id> graph::unknown_jobs() const {
  return {unknown_jobs_.begin(), unknown_jobs_.end()};
}

}  // namespace gingerdrift::dependencies
