#include "workers/heartbeat_reconciliation.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::workers {

using job_store::attempt_phase;
using job_store::job_status;

std::vector<command> heartbeat_reconciliation::run() {
  sender_.unknown_tasks.clear();
  sender_.runs_unknown_tasks = false;
  for (const auto& status : heartbeat_.tasks) reconcile_listed(status);
  sender_.exits = std::move(unacknowledged_);

  const auto held = sender_.attempts;
  for (const auto& id : held) {
    if (!listed_.contains(id)) reconcile_missing(id);
  }
  return std::move(commands_);
}

void heartbeat_reconciliation::reconcile_listed(const task_status& status) {
  apply_status(status);
  // What the status meant may have ended the job: what follows looks it up again.
  if (status.phase == attempt_phase::exited) {
    acknowledge_exit(status);
  } else {
    stop_if_unwanted(status);
  }
}

void heartbeat_reconciliation::apply_status(const task_status& status) {
  job_store::job* job = services_.jobs.find(status.job);
  if (job == nullptr || status.task >= job->spec().tasks) return;
  const auto entry = job->attempts().find(status.task);
  if (entry == job->attempts().end()) {
    // A task given up for gone had finished after all: its result is kept.
    if (status.cause == exit_cause::done && job->status() == job_status::active &&
        !job->done().contains(status.task))
      services_.outcomes.complete_task(*job, status.task);
    return;
  }
  const job_store::attempt& present = entry->second;
  if (present.machine != sender_.name || present.number != status.number ||
      present.incarnation != heartbeat_.incarnation)
    return;
  listed_.insert({status.job, status.task});
  apply_phase(*job, status);
}

void heartbeat_reconciliation::apply_phase(job_store::job& job, const task_status& status) {
  const auto& present = job.attempts().at(status.task);
  if (!present.reported_by_worker || present.phase != status.phase) job.invalidate_view();
  const bool exited = status.phase == attempt_phase::exited;
  // Such an exit may be the one before this very attempt: a member that waited in vain is started
  // again under its number. Only who has heard us in this term surely speaks of the present one.
  if (exited && status.cause == exit_cause::alone && sender_.token != services_.token) return;
  if (exited) {
    services_.exits.handle(sender_, job, status.task, status.cause);
    return;
  }
  const attempt_phase former = present.phase;
  job.update_phase(status.task, status.phase, services_.runtime.now());
  if (former != status.phase) services_.events.changed();
  if (status.phase == attempt_phase::running && former != attempt_phase::running) {
    spdlog::debug("task_running job={} task={} attempt={} machine={} term={}", job.spec().id,
                  status.task, present.number, sender_.name, services_.token);
  }
}

/// The worker forgets an exit only once what it means is stored.
void heartbeat_reconciliation::acknowledge_exit(const task_status& status) {
  const task_id id{status.job, status.task};
  const auto exit = sender_.exits.find({id, status.number});
  if (exit != sender_.exits.end()) unacknowledged_.insert(*exit);
  if (exit_handler::may_acknowledge(sender_, services_.jobs.find(status.job), status))
    commands_.push_back(
        {command_type::acknowledge_exit, status.job, status.task, status.number, {}});
  sender_.unknown_tasks.insert(id);
}

void heartbeat_reconciliation::stop_if_unwanted(const task_status& status) {
  const job_store::attempt* wanted = nullptr;
  if (const job_store::job* job = services_.jobs.find(status.job); job != nullptr) {
    const auto entry = job->attempts().find(status.task);
    if (entry != job->attempts().end() && entry->second.machine == sender_.name &&
        entry->second.number == status.number)
      wanted = &entry->second;
  }
  if (wanted == nullptr) {
    commands_.push_back({command_type::stop, status.job, status.task, status.number, {}});
    sender_.unknown_tasks.insert({status.job, status.task});
    sender_.runs_unknown_tasks = true;
  } else if (wanted->stopping) {
    commands_.push_back(
        {command_type::stop, status.job, status.task, status.number, wanted->grace});
  }
}

/// The order of the cases matters: each takes for granted that none before it applies.
heartbeat_reconciliation::missing_attempt heartbeat_reconciliation::classify_missing(
    const job_store::job& job, std::uint32_t task, const job_store::attempt& attempt) const {
  // The heartbeat is of another incarnation than the one that the attempt was placed on.
  if (attempt.incarnation != heartbeat_.incarnation) return missing_attempt::not_concerned;
  if (attempt.reported_by_worker) return missing_attempt::left_the_heartbeat;
  // An earlier leader's start that the worker does not have: it may have been proven gone, and
  // its room given away, before that was stored. Started again, it once took a team over its
  // limit.
  if (attempt.adopted) return missing_attempt::absent_after_failover;
  // The heartbeat was sent after the answer that could have started it was dropped, and carrying
  // our token it can't be started by a former leader any more.
  if (attempt.stopping || job.status() != job_status::active) return missing_attempt::never_started;
  // It was sent in the answer to an earlier heartbeat, and this newer one does not list it: the
  // worker never took that answer, and drops it should it still come.
  const bool sent_before =
      attempt.sent_in_reply_to != 0 && attempt.sent_in_reply_to < heartbeat_.sequence;
  if (sent_before && shows_our_token()) return missing_attempt::start_not_taken;
  // A start is sent under a lease that is surely held, and only once it is stored: a successor
  // has to know of it.
  if (services_.events.lease_valid() && job.attempt_stored(task, attempt) &&
      !sender_.closed_to_starts())
    return missing_attempt::startable;
  if (sender_.closed_to_starts()) return missing_attempt::machine_leaving;
  return missing_attempt::not_concerned;
}

void heartbeat_reconciliation::reconcile_missing(const task_id& id) {
  job_store::job* job = services_.jobs.find(id.job);
  if (job == nullptr) {
    sender_.attempts.erase(id);
    sender_.view.reset();
    return;
  }
  const job_store::attempt& present = job->attempts().at(id.index);
  switch (classify_missing(*job, id.index, present)) {
    case missing_attempt::not_concerned:
      return;
    case missing_attempt::left_the_heartbeat:
      return lose_if_proven(*job, id.index, loss_evidence::left_the_heartbeat);
    case missing_attempt::absent_after_failover:
      return lose_if_proven(*job, id.index, loss_evidence::absent_after_failover);
    case missing_attempt::never_started:
      return lose_if_proven(*job, id.index, loss_evidence::never_started);
    case missing_attempt::start_not_taken:
      services_.reachability.suspect(sender_, unreachable_sign::start_not_taken);
      return lose_if_proven(*job, id.index, loss_evidence::start_not_taken);
    case missing_attempt::startable:
      return start(*job, id.index);
    case missing_attempt::machine_leaving:
      return lose_if_proven(*job, id.index, loss_evidence::machine_leaving);
  }
}

void heartbeat_reconciliation::start(job_store::job& job, std::uint32_t task) {
  job.mark_sent(task, heartbeat_.sequence);
  sender_.use_image(job.spec().image, job.spec().image_gb,
                    services_.events.cache_gb(sender_.pool.type));
  commands_.push_back(
      {command_type::start, job.spec().id, task, job.attempts().at(task).number, {}});
}

/// A heartbeat without our token may be older than a start that an earlier leader sent: that a
/// task is missing there proves nothing.
void heartbeat_reconciliation::lose_if_proven(job_store::job& job, std::uint32_t task,
                                              loss_evidence evidence) {
  if (shows_our_token()) services_.outcomes.mark_lost(job, task, evidence);
}

}  // namespace gingerdrift::workers
