#include "workers/reconciler.hpp"

namespace gingerdrift::workers {

reconciler::reconciler(net::runtime& runtime, job_store::job_table& jobs,
                       reconciler_options settings, fencing_token token, hooks events)
    : runtime_(runtime),
      jobs_(jobs),
      options_(settings),
      token_(token),
      events_(std::move(events)),
      workers_(runtime, options_.heartbeat_interval, token),
      stopper_(runtime, workers_, token, events_),
      outcomes_(jobs, workers_, stopper_, token, events_),
      failures_({.runtime = runtime,
                 .jobs = jobs,
                 .workers = workers_,
                 .stopper = stopper_,
                 .events = events_},
                options_),
      exits_(outcomes_, failures_, token),
      lease_expiry_(workers_, outcomes_, options_, runtime.now()),
      reachability_(runtime, workers_, options_.probes_per_second, events_) {}

void reconciler::adopt(job_store::job& job) {
  job.adopt_attempts();
  for (const auto& [task, attempt] : job.attempts()) {
    workers_.hold(workers_.find_or_add(attempt.machine), {job.spec().id, task});
  }
}

std::string reconciler::handle(const worker_heartbeat& heartbeat) {
  worker& sender = workers_.find_or_add(heartbeat.machine);
  note_contact(sender, heartbeat);
  // The task list of an outdated heartbeat is outdated too: it proves nothing, and the answer
  // carries no commands.
  if (!sender.is_outdated_by(heartbeat) || !reconciling_) return encode_commands(token_, {});
  const bool accepted_tasks = accepts_tasks(sender);
  accept(sender, heartbeat);
  if (heartbeat.incarnation > sender.latest_position.incarnation)
    begin_incarnation(sender, heartbeat.incarnation);
  const std::vector<command> commands = reconcile(sender, heartbeat);
  if (accepts_tasks(sender) != accepted_tasks) events_.changed();
  return encode_commands(token_, commands);
}

/// Records what is valid for every heartbeat, including an outdated one: it is answered, and an
/// answer renews the worker's lease.
void reconciler::note_contact(worker& sender, const worker_heartbeat& heartbeat) {
  sender.last_lease_renewal = runtime_.now();
  sender.address = heartbeat.address;
  if (sender.reported_in_term && sender.pool == heartbeat.pool) return;
  sender.pool = heartbeat.pool;
  sender.view.reset();
  // The pool in which the tasks of this worker run was unknown or has changed.
  for (const auto& [id, task] : sender.attempts) {
    if (auto* job = jobs_.find(id); job != nullptr) job->invalidate_view();
  }
}

void reconciler::accept(worker& sender, const worker_heartbeat& heartbeat) {
  const time_point now = runtime_.now();
  // No task could be placed on the machine while its heartbeats were overdue, so its idle time
  // restarts now. Otherwise it might be returned before it can be used again.
  if (heartbeat_overdue(sender)) sender.idle_since = now;
  sender.reported_in_term = true;
  sender.last_heartbeat = now;
  sender.latest_position.sequence = heartbeat.sequence;
  sender.token = heartbeat.token;
  sender.new_in_term = !heartbeat.token.exists() && events_.rented_in_term(heartbeat.machine);
  sender.termination_notice = heartbeat.termination_notice;
}

/// A worker starts a new incarnation when its lease has expired. The attempts of earlier
/// incarnations are gone.
void reconciler::begin_incarnation(worker& sender, worker_incarnation incarnation) {
  // The worker's lease expired although its heartbeats arrive. If an earlier incarnation is known,
  // this indicates that the answers do not reach the worker.
  if (sender.latest_position.incarnation.exists())
    reachability_.mark_unreachable(sender, unreachable_sign::lease_expired);
  sender.latest_position.incarnation = incarnation;
  const auto held = sender.attempts;
  for (const auto& [id, task] : held) {
    auto* job = jobs_.find(id);
    if (job == nullptr) continue;
    const auto entry = job->attempts().find(task);
    if (entry != job->attempts().end() && entry->second.incarnation < incarnation)
      outcomes_.mark_lost(*job, task, loss_evidence::newer_incarnation);
  }
}

std::string reconciler::answer_deferred(const worker_heartbeat& heartbeat) {
  worker* sender = find(heartbeat.machine);
  // The heartbeat is used only if it is still the newest one. Then no start was sent to the worker
  // since, and the task list is still valid.
  if (sender == nullptr || sender->latest_position != position_of(heartbeat))
    return encode_commands(token_, {});
  sender->last_lease_renewal = runtime_.now();
  return encode_commands(token_, reconcile(*sender, heartbeat));
}

std::vector<command> reconciler::reconcile(worker& sender, const worker_heartbeat& heartbeat) {
  const reconciliation_services services{.runtime = runtime_,
                                         .jobs = jobs_,
                                         .outcomes = outcomes_,
                                         .exits = exits_,
                                         .reachability = reachability_,
                                         .events = events_,
                                         .token = token_};
  return heartbeat_reconciliation(services, sender, heartbeat).run();
}

void reconciler::place(job_store::job& job, std::uint32_t task, const machine_name& machine,
                       attempt_number number) {
  worker& holder = workers_.all().at(machine);
  job.place_attempt(task, number, machine, holder.latest_position.incarnation);
  jobs_.mark_placed(job, task);
  workers_.hold(holder, {job.spec().id, task});
  holder.view.reset();
}

void reconciler::machine_lost(const machine_name& machine, loss_evidence evidence) {
  const worker* holder = find(machine);
  if (holder == nullptr) return;
  outcomes_.mark_all_lost(*holder, evidence);
  workers_.erase(machine);
  events_.changed();
}

}  // namespace gingerdrift::workers
