#include "workers/heartbeat_reconciliation.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::workers {

using job_store::attempt_phase;
using job_store::job_status;

std::vector<command> heartbeat_reconciliation::run() {
  sender_.unknown_tasks.clear();
  sender_.runs_unknown_tasks = false;
  for (const auto& status : heartbeat_.tasks) reconcile_listed(status);
  sender_.handled_exits = std::move(unacknowledged_exits_);

  const auto held = sender_.attempts;
  for (const auto& id : held) {
    if (!listed_.contains(id)) reconcile_missing(id);
  }
  return std::move(commands_);
}

void heartbeat_reconciliation::reconcile_listed(const task_status& status) {
  apply_status(status);
  // apply_status() may have finalized the job and removed it from the table, so the job is looked
  // up again below.
  if (status.phase == attempt_phase::exited) {
    acknowledge_exit(status);
  } else {
    stop_if_needed(status);
  }
}

void heartbeat_reconciliation::apply_status(const task_status& status) {
  job_store::job* job = services_.jobs.find(status.job);
  if (job == nullptr || status.task >= job->spec().tasks) return;
  const auto entry = job->attempts().find(status.task);
  if (entry == job->attempts().end()) {
    // An attempt that was considered lost has completed the task: the result is kept.
    if (status.cause == exit_cause::done && job->status() == job_status::active &&
        !job->done().contains(status.task))
      services_.outcomes.complete_task(*job, status.task);
    return;
  }
  const job_store::attempt& current = entry->second;
  if (current.machine != sender_.name || current.number != status.number ||
      current.incarnation != heartbeat_.incarnation)
    return;
  listed_.insert({status.job, status.task});
  apply_phase(*job, status);
}

void heartbeat_reconciliation::apply_phase(job_store::job& job, const task_status& status) {
  const auto& current = job.attempts().at(status.task);
  if (!current.reported_by_worker || current.phase != status.phase) job.invalidate_view();
  const bool exited = status.phase == attempt_phase::exited;
  // A gang member that exits because the gang is incomplete is started again with the same attempt
  // number, so the exit may belong to the previous start. Only a worker that has received this
  // term's token certainly reports the current one.
  if (exited && status.cause == exit_cause::gang_incomplete && sender_.token != services_.token)
    return;
  if (exited) {
    services_.exits.handle(sender_, job, status.task, status.cause);
    return;
  }
  const attempt_phase previous_phase = current.phase;
  job.update_phase(status.task, status.phase, services_.runtime.now());
  if (previous_phase != status.phase) services_.events.changed();
  if (status.phase == attempt_phase::running && previous_phase != attempt_phase::running) {
    spdlog::debug("task_running job={} task={} attempt={} machine={} term={}", job.spec().id,
                  status.task, current.number, sender_.name, services_.token);
  }
}

/// Acknowledges an exit once its consequences are stored; until then the worker goes on listing it.
void heartbeat_reconciliation::acknowledge_exit(const task_status& status) {
  const task_id id{status.job, status.task};
  const auto exit = sender_.handled_exits.find({id, status.number});
  if (exit != sender_.handled_exits.end()) unacknowledged_exits_.insert(*exit);
  if (exit_handler::may_acknowledge(sender_, services_.jobs.find(status.job), status))
    commands_.push_back(
        {command_type::acknowledge_exit, status.job, status.task, status.number, {}});
  sender_.unknown_tasks.insert(id);
}

/// Stops a listed attempt that is not its task's current attempt on this worker, or that the leader
/// is stopping.
void heartbeat_reconciliation::stop_if_needed(const task_status& status) {
  const job_store::attempt* current = nullptr;
  if (const job_store::job* job = services_.jobs.find(status.job); job != nullptr) {
    const auto entry = job->attempts().find(status.task);
    if (entry != job->attempts().end() && entry->second.machine == sender_.name &&
        entry->second.number == status.number)
      current = &entry->second;
  }
  if (current == nullptr) {
    commands_.push_back({command_type::stop, status.job, status.task, status.number, {}});
    sender_.unknown_tasks.insert({status.job, status.task});
    sender_.runs_unknown_tasks = true;
  } else if (current->stopping) {
    commands_.push_back(
        {command_type::stop, status.job, status.task, status.number, current->grace});
  }
}

/// The order of the checks matters: each one relies on the previous ones not applying.
heartbeat_reconciliation::missing_attempt heartbeat_reconciliation::classify_missing(
    const job_store::job& job, std::uint32_t task, const job_store::attempt& attempt) const {
  // The heartbeat comes from another incarnation than the one on which the attempt was placed.
  if (attempt.incarnation != heartbeat_.incarnation) return missing_attempt::no_action;
  if (attempt.reported_by_worker) return missing_attempt::left_the_heartbeat;
  // An earlier leader placed the attempt. It may have found the attempt to be gone and reassigned
  // its resources before the loss was stored. Sending the start again has made a team exceed its
  // limit.
  if (attempt.adopted) return missing_attempt::absent_after_failover;
  // An answer that could have started the attempt was dropped by the worker before it sent this
  // heartbeat. If the heartbeat carries this term's token, no former leader can start the attempt
  // any more.
  if (attempt.stopping || job.status() != job_status::active) return missing_attempt::never_started;
  // The start was sent in the answer to an earlier heartbeat, but this newer one does not list the
  // attempt. The worker has not received that answer, and drops it if it still arrives.
  const bool sent_before =
      attempt.sent_in_reply_to != 0 && attempt.sent_in_reply_to < heartbeat_.sequence;
  if (sent_before && carries_current_token()) return missing_attempt::start_not_taken;
  // A start is sent only while the leader certainly holds its lease, and only once the attempt is
  // stored, because a successor has to know of it.
  if (services_.events.lease_valid() && job.attempt_stored(task, attempt) &&
      !sender_.is_unschedulable())
    return missing_attempt::startable;
  if (sender_.is_unschedulable()) return missing_attempt::machine_leaving;
  return missing_attempt::no_action;
}

void heartbeat_reconciliation::reconcile_missing(const task_id& id) {
  job_store::job* job = services_.jobs.find(id.job);
  if (job == nullptr) {
    sender_.attempts.erase(id);
    sender_.view.reset();
    return;
  }
  const job_store::attempt& current = job->attempts().at(id.index);
  switch (classify_missing(*job, id.index, current)) {
    case missing_attempt::no_action:
      return;
    case missing_attempt::left_the_heartbeat:
      return mark_lost_if_proven(*job, id.index, loss_evidence::left_the_heartbeat);
    case missing_attempt::absent_after_failover:
      return mark_lost_if_proven(*job, id.index, loss_evidence::absent_after_failover);
    case missing_attempt::never_started:
      return mark_lost_if_proven(*job, id.index, loss_evidence::never_started);
    case missing_attempt::start_not_taken:
      services_.reachability.mark_unreachable(sender_, unreachable_sign::start_not_taken);
      return mark_lost_if_proven(*job, id.index, loss_evidence::start_not_taken);
    case missing_attempt::startable:
      return start(*job, id.index);
    case missing_attempt::machine_leaving:
      return mark_lost_if_proven(*job, id.index, loss_evidence::machine_leaving);
  }
}

void heartbeat_reconciliation::start(job_store::job& job, std::uint32_t task) {
  job.mark_sent(task, heartbeat_.sequence);
  sender_.use_image(job.spec().image, job.spec().image_gb,
                    services_.events.cache_gb(sender_.pool.type));
  commands_.push_back(
      {command_type::start, job.spec().id, task, job.attempts().at(task).number, {}});
}

/// A heartbeat without this term's token may be older than a start that an earlier leader sent, so
/// a task that it does not list is not proven lost.
void heartbeat_reconciliation::mark_lost_if_proven(job_store::job& job, std::uint32_t task,
                                                   loss_evidence evidence) {
  if (carries_current_token()) services_.outcomes.mark_lost(job, task, evidence);
}

}  // namespace gingerdrift::workers
