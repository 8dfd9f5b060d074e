#include "leader/snapshot_builder.hpp"

#include <algorithm>

namespace gingerdrift::leader {

namespace {
/// A job view lists as many waiting tasks as there are machines, but at least this many.
constexpr std::size_t min_waiting_tasks_in_view = 256;
}  // namespace

snapshot_builder::snapshot_builder(const term_context& context, const zone_health& zones)
    : runtime_(context.runtime),
      teams_(context.platform.teams),
      jobs_(context.jobs),
      dependencies_(context.dependencies),
      workers_(context.workers),
      machines_(context.machines),
      zones_(zones) {
  for (std::size_t i = 0; i < teams_.size(); ++i) team_index_[teams_[i].name] = i;
}

admission::snapshot snapshot_builder::build() {
  admission::snapshot snapshot;
  snapshot.now = runtime_.now();
  snapshot.types = machines_.types();
  for (const auto& team : teams_)
    snapshot.teams.push_back({team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max});
  types_by_name types;
  for (const auto& type : snapshot.types) types[type.name] = &type;
  add_jobs(snapshot);
  add_reporting_machines(types, snapshot);
  add_starting_machines(types, snapshot);
  add_refused_pools(snapshot);
  return snapshot;
}

void snapshot_builder::add_jobs(admission::snapshot& snapshot) {
  snapshot.jobs.reserve(jobs_.all().size());
  for (auto& [id, job] : jobs_.all()) {
    // A job that waits for its dependencies must not occupy variants, quota or capacity.
    if (!job.waiting()) snapshot.jobs.push_back(view_of(job));
  }
}

void snapshot_builder::add_reporting_machines(const types_by_name& types,
                                              admission::snapshot& snapshot) {
  for (auto& [name, worker] : workers_.all()) {
    if (!worker.reported_in_term) continue;
    const auto type = types.find(worker.pool.type);
    if (type != types.end()) snapshot.machines.push_back(view_of(worker, *type->second));
  }
}

void snapshot_builder::add_starting_machines(const types_by_name& types,
                                             admission::snapshot& snapshot) {
  for (const auto& machine : machines_.starting_machines()) {
    const auto type = types.find(machine.pool.type);
    // Machines in a partitioned zone can't report, so jobs must not wait for them. No more of them
    // are rented either: add_refused_pools() covers their pools.
    if (type == types.end() || zones_.is_partitioned(machine.pool.zone)) continue;
    const auto* worker = workers_.find(machine.name);
    if (worker != nullptr && (worker->reported_in_term || !worker->attempts.empty())) continue;
    auto view = std::make_shared<admission::machine_view>();
    view->name = machine.name;
    view->pool = machine.pool;
    view->free = type->second->size;
    view->starting = true;
    snapshot.machines.push_back(std::move(view));
  }
}

/// Adds the pools for which the cloud recently refused a request, and all pools of partitioned
/// zones.
void snapshot_builder::add_refused_pools(admission::snapshot& snapshot) const {
  snapshot.refused_pools = machines_.refused_pools();
  for (const auto& type : snapshot.types) {
    for (const auto& zone : type.zones) {
      if (!zones_.is_partitioned(zone)) continue;
      for (const bool spot : {false, true}) snapshot.refused_pools.insert({type.name, zone, spot});
    }
  }
}

std::shared_ptr<const admission::job_view> snapshot_builder::view_of(job_store::job& job) const {
  if (job.view()) return job.view();
  auto view = std::make_shared<admission::job_view>();
  copy_spec(job, *view);
  const attempt_summary attempts = add_attempts(job, *view);
  if (job.status() == job_store::job_status::active) {
    add_waiting_tasks(job, *view);
    // A gang is restarted only after all tasks of its old attempt are gone. Before it has started,
    // individual members can be replaced.
    const bool takes_replacements = !job.gang_started() && attempts.all_still_starting;
    if (job.spec().gang && !job.attempts().empty() && !view->waiting.empty() && !takes_replacements)
      view->placement_suspended = true;
  }
  for (const auto& [machine, count] : job.failures_by_machine())
    view->excluded_machines.insert(machine);
  if (attempts.all_pools_known) job.cache_view(view);
  return view;
}

void snapshot_builder::copy_spec(const job_store::job& job, admission::job_view& view) const {
  const auto& spec = job.spec();
  view.id = spec.id;
  view.team = team_index_.at(spec.team);
  view.level = dependencies_.effective_priority(job);
  view.created_ms = job.queued_ms();
  const auto wall_ms =
      std::chrono::duration_cast<milliseconds>(runtime_.wall_now().time_since_epoch()).count();
  view.created =
      runtime_.now() - milliseconds(std::max<std::int64_t>(0, wall_ms - view.created_ms));
  view.gang = spec.gang;
  view.total_tasks = spec.tasks;
  view.need = spec.need;
  view.any_type = spec.any_type;
  view.types = spec.types;
  view.zone = spec.zone;
  view.one_zone = spec.one_zone;
  view.spread = spec.spread;
  view.spot = spec.spot;
  view.image = spec.image;
  view.estimate = spec.estimate;
  view.checkpoint = spec.checkpoint;
  view.save = spec.save;
  view.not_before = job.not_before();
}

snapshot_builder::attempt_summary snapshot_builder::add_attempts(const job_store::job& job,
                                                                 admission::job_view& view) const {
  attempt_summary summary;
  for (const auto& [task, attempt] : job.attempts()) {
    admission::placed_task_view placed;
    placed.task = task;
    placed.machine = attempt.machine;
    placed.pool = pool_of(attempt.machine);
    // The zone of the machine is unknown. If the job has a rule about zones, no further tasks may
    // be started until the zone is known.
    if (placed.pool.zone.empty()) {
      summary.all_pools_known = false;
      if (job.spec().one_zone || job.spec().spread) view.placement_suspended = true;
    }
    placed.running = attempt.phase == job_store::attempt_phase::running;
    placed.stopping = attempt.stopping;
    if (placed.running) placed.running_since = attempt.running_since;
    if (attempt.stopping || !attempt.reported_by_worker || placed.running)
      summary.all_still_starting = false;
    view.placed.push_back(std::move(placed));
  }
  return summary;
}

/// Returns the machine's pool as reported by its worker, or else as listed by the cloud. The zone
/// of the result is empty if neither is available.
admission::pool snapshot_builder::pool_of(const machine_name& name) const {
  admission::pool pool;
  const auto worker = workers_.all().find(name);
  if (worker != workers_.all().end()) pool = worker->second.pool;
  if (!pool.zone.empty()) return pool;
  const auto machine = machines_.all().find(name);
  if (machine != machines_.all().end()) pool = machine->second.pool;
  return pool;
}

void snapshot_builder::add_waiting_tasks(const job_store::job& job,
                                         admission::job_view& view) const {
  const std::size_t limit = max_waiting_tasks(job);
  const auto& done = job.done().ranges();
  for (std::uint32_t task = 0; task < job.spec().tasks && view.waiting.size() < limit; ++task) {
    const auto next_range = done.upper_bound(task);
    if (next_range != done.begin() && task <= std::prev(next_range)->second) {
      task = std::prev(next_range)->second;
      continue;
    }
    if (job.attempts().count(task) == 0) view.waiting.push_back(task);
  }
}

/// Returns how many waiting tasks of the job a cycle may see.
///
/// A job whose tasks failed on several different machines is retried with one task at a time.
/// Otherwise, hundreds of failing tasks would repeatedly occupy capacity and image caches that
/// other jobs need. The restriction ends with the job's first successful task.
std::size_t snapshot_builder::max_waiting_tasks(const job_store::job& job) const {
  const bool failing = job.backoff_rounds() > 0 && !job.spec().gang;
  if (failing) return job.attempts().empty() ? 1 : 0;
  return std::max(min_waiting_tasks_in_view, workers_.all().size());
}

std::shared_ptr<const admission::machine_view> snapshot_builder::view_of(
    workers::worker& worker, const admission::machine_type& type) const {
  const bool ready = workers_.accepts_tasks(worker) && !machines_.is_releasing(worker.name);
  if (worker.view && worker.view->ready == ready) return worker.view;
  auto view = std::make_shared<admission::machine_view>();
  view->name = worker.name;
  view->pool = worker.pool;
  view->free = type.size;
  for (const auto& [id, task] : worker.attempts) {
    if (const auto* job = jobs_.find(id); job != nullptr) view->free -= job->spec().need;
  }
  view->ready = ready;
  for (const auto& [image, gb] : worker.images) view->images.push_back(image);
  worker.view = view;
  return view;
}

}  // namespace gingerdrift::leader
