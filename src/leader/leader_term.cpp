#include "leader/leader_term.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/connection_budget.hpp"
#include "leader/lease_policy.hpp"

namespace gingerdrift::leader {

namespace {
workers::reconciler_options reconciler_options(const config::platform_settings& platform,
                                               const config::operator_settings& operator_settings) {
  // An unanswered probe occupies a socket for about two seconds, so the probes may use only a part
  // of the connections for outgoing calls.
  constexpr std::size_t probe_connection_divisor = 4;
  constexpr std::size_t min_probes_per_second = 20;
  const auto calls = config::connection_budget::of(platform.max_connections).calls;
  return {.heartbeat_interval = platform.worker_heartbeat_interval,
          .worker_lease = platform.worker_lease,
          .renewal_grace = renewal_grace(platform),
          .quarantine_after_failed_jobs = operator_settings.quarantine_after_failed_jobs,
          .failing_job_backoff = operator_settings.failing_job_backoff,
          .probes_per_second = std::max(min_probes_per_second, calls / probe_connection_divisor)};
}

cloud::options inventory_options(const config::platform_settings& platform,
                                 const config::operator_settings& operator_settings) {
  /// Added to the duration of a worker lease as the time that a machine has, once it runs, to send
  /// its first heartbeat.
  constexpr auto first_heartbeat_margin = seconds(10);
  return {.cloud_endpoint = platform.cloud,
          .rps = platform.cloud_rps,
          .list_lag = platform.list_lag,
          .refusal_backoff = operator_settings.refusal_backoff,
          .boot_timeout_factor = operator_settings.boot_timeout_factor,
          .first_heartbeat_timeout = platform.worker_lease + first_heartbeat_margin,
          .machines_max = operator_settings.machines_max};
}

workers::loss_evidence evidence_of(cloud::termination_evidence evidence) {
  switch (evidence) {
    case cloud::termination_evidence::released:
      return workers::loss_evidence::machine_released;
    case cloud::termination_evidence::listed_as_failed:
      return workers::loss_evidence::machine_failed;
    case cloud::termination_evidence::no_longer_listed:
      break;
  }
  return workers::loss_evidence::machine_delisted;
}
}  // namespace

leader_term::leader_term(const term_environment& environment, fencing_token token,
                         const kvstore::condition& leader,
                         std::vector<admission::machine_type> types, callbacks owner_callbacks)
    : runtime_(environment.runtime),
      platform_(environment.platform),
      token_(token),
      callbacks_(std::move(owner_callbacks)),
      term_start_(runtime_.now()),
      jobs_(runtime_, environment.store, leader,
            kvstore::writable_sizes(platform_.state_limits, platform_.announced_state_limits),
            job_table_callbacks()),
      dependencies_(runtime_, environment.store, jobs_, *this),
      workers_(runtime_, jobs_, reconciler_options(platform_, environment.operator_settings), token,
               reconciler_callbacks()),
      machines_(runtime_, inventory_options(platform_, environment.operator_settings), token,
                inventory_callbacks()),
      context_{.runtime = runtime_,
               .platform = platform_,
               .operator_settings = environment.operator_settings,
               .controller_metrics = environment.controller_metrics,
               .token = token,
               .jobs = jobs_,
               .dependencies = dependencies_,
               .workers = workers_,
               .machines = machines_},
      zones_(runtime_, platform_, environment.operator_settings, workers_, machines_),
      delegates_(environment.store, workers_),
      drain_(runtime_, jobs_, workers_),
      decisions_(jobs_, workers_, machines_, environment.controller_metrics, token),
      scale_in_(context_, zones_, decisions_),
      snapshots_(context_, zones_),
      loader_(context_, environment.store, loader_callbacks()),
      loop_(context_, environment.executor, snapshots_, decisions_, loop_callbacks()),
      tick_timer_(runtime_),
      heartbeats_(context_, drain_, loop_,
                  platform_.max_connections / heartbeat_intake::early_connection_divisor,
                  heartbeat_callbacks()) {
  machines_.set_types(std::move(types));
}

job_store::job_table::hooks leader_term::job_table_callbacks() {
  return {
      .stored =
          [this](const job_id& id) {
            dependencies_.job_stored(id);
            loop_.request_cycle();
          },
      .finalized = [this](const job_id& id,
                          const job_store::terminal_state& end) { handle_job_finalized(id, end); },
      .committed = [this] { heartbeats_.answer_held_heartbeats(); },
      // The callback destroys this term, so it must not run within a member function.
      .deposed = [this] { runtime_.after(duration::zero(), callbacks_.deposed); },
      .may_write = [this] { return callbacks_.lease_valid(); }};
}

workers::reconciler::hooks leader_term::reconciler_callbacks() {
  return {.lease_valid = [this] { return callbacks_.lease_valid(); },
          .changed = [this] { loop_.request_cycle(); },
          .cache_gb = [this](const std::string& type) { return image_cache_gb(type); },
          .rented_in_term =
              [this](const machine_name& name) { return machines_.was_rented_in_term(name); }};
}

cloud::machine_inventory::hooks leader_term::inventory_callbacks() {
  return {.machine_terminated =
              [this](const machine_name& machine, cloud::termination_evidence evidence) {
                workers_.machine_lost(machine, evidence_of(evidence));
              },
          .changed = [this] { loop_.request_cycle(); },
          .lease_valid = [this] { return callbacks_.lease_valid(); },
          .heartbeat_timeout_extension =
              [this](const zone_name& zone) { return zones_.partition_grace(zone); }};
}

job_loader::callbacks leader_term::loader_callbacks() {
  return {.recovered = [this] { finish_recovery(); },
          .jobs_changed = [this] { loop_.request_cycle(); },
          .cached_terminal_state =
              [this](const job_id& id) { return callbacks_.cached_terminal_state(id); }};
}

scheduling_loop::callbacks leader_term::loop_callbacks() {
  return {.lease_valid = [this] { return callbacks_.lease_valid(); },
          .is_recovered = [this] { return loader_.is_recovered(); },
          .cycle_finished = [this] { heartbeats_.answer_held_heartbeats(); }};
}

heartbeat_intake::callbacks leader_term::heartbeat_callbacks() {
  return {.lease_valid = [this] { return callbacks_.lease_valid(); },
          .is_recovered = [this] { return loader_.is_recovered(); }};
}

void leader_term::start() {
  loader_.start();
  tick();
}

std::size_t leader_term::known_machine_count() const {
  return ready() ? machines_.all().size() : 0;
}

double leader_term::image_cache_gb(const std::string& type_name) const {
  for (const auto& type : machines_.types()) {
    if (type.name == type_name) return type.cache_gb;
  }
  return 0.0;
}

void leader_term::handle_job_finalized(const job_id& id, const job_store::terminal_state& end) {
  spdlog::info("job_finalized job={} state={} term={}", id, job_store::status_name(end.status()),
               token_);
  callbacks_.finished(id, end);
  dependencies_.job_finalized(id, end);
  loop_.request_cycle();
}

/// Starts all activities of the leader once all records have been read.
void leader_term::finish_recovery() {
  for (auto& [id, job] : jobs_.all()) resume_job(job);
  dependencies_.start();
  workers_.start_reconciling();
  machines_.start();
  spdlog::info("term_ready term={} jobs={} waiting_for_dependencies={} after_ms={}", token_,
               jobs_.all().size(), dependencies_.waiting_job_count(),
               std::chrono::duration_cast<milliseconds>(runtime_.now() - term_start_).count());
  heartbeats_.process_early_heartbeats();
}

/// Completes the steps in a job's processing that the previous leader may not have finished.
void leader_term::resume_job(job_store::job& job) {
  workers_.adopt(job);
  if (job.complete_if_all_tasks_done()) jobs_.mark_head(job);
  if (job.ready_to_finalize()) jobs_.finalize(job);
  if (job.status() == job_store::job_status::cancelled) workers_.stop_all(job, duration::zero());
}

std::optional<job_store::job_state> leader_term::state_of(const job_id& id) {
  const job_store::job* job = jobs_.find(id);
  if (job == nullptr) return std::nullopt;
  // A job must not be reported as pending while one of its dependencies may turn out to be
  // cancelled.
  if (!dependencies_.is_state_certain(*job)) return job_store::indeterminate{};
  return job_store::state_in_memory(*job, acknowledgement_of_cancellations(platform_));
}

void leader_term::cancel(const job_id& id, job_store::job_table::terminal_fn done) {
  job_store::job* job = jobs_.find(id);
  if (job == nullptr || !callbacks_.lease_valid()) return done(std::nullopt);
  if (job->active()) mark_cancelled(*job);
  // If a worker lease may last longer than a cancellation may take to become effective, the
  // cancellation is acknowledged only once the tasks are gone. Until then the user has to retry.
  const bool acknowledged_when_tasks_are_gone =
      acknowledgement_of_cancellations(platform_) ==
      job_store::cancellation_acknowledgement::when_tasks_are_gone;
  if (job->status() == job_store::job_status::cancelled && acknowledged_when_tasks_are_gone)
    return done(std::nullopt);
  jobs_.when_terminal(*job, std::move(done));
}

void leader_term::mark_cancelled(job_store::job& job) {
  spdlog::info("job_cancelled job={} term={}", job.spec().id, token_);
  job.cancel();
  dependencies_.job_cancelled(job.spec().id);
  jobs_.mark_head(job);
  workers_.stop_all(job, duration::zero());
  if (job.ready_to_finalize()) jobs_.finalize(job);
  loop_.request_cycle();
}

void leader_term::tick() {
  tick_timer_.start(zone_health::update_interval, [this] { tick(); });
  if (!ready()) return;
  const stopwatch watch(context_.controller_metrics.loop_activities.maintenance);
  delegates_.poll();
  workers_.probe();
  workers_.forget_old_failures();
  drain_.drain_machines_with_notice();
  zones_.update(delegates_.active_zones());
  if (callbacks_.lease_valid()) scale_in_.release_machines();
  loop_.request_cycle();
}

nlohmann::json leader_term::status() const {
  std::size_t reporting = 0;
  for (const auto& [name, worker] : workers_.all())
    reporting += workers_.heartbeat_overdue(worker) ? 0 : 1;
  return {{"token", token_.value()},
          {"ready", ready()},
          {"jobs", jobs_.all().size()},
          {"waiting_for_dependencies", dependencies_.waiting_job_count()},
          {"unstored", jobs_.backlog()},
          {"machines", machines_.all().size()},
          {"workers_reporting", reporting}};
}

}  // namespace gingerdrift::leader
