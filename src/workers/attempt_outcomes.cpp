#include "workers/attempt_outcomes.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::workers {

void attempt_outcomes::release_placement(job_store::job& job, std::uint32_t task) {
  const auto entry = job.attempts().find(task);
  if (entry == job.attempts().end()) return;
  workers_.release(workers_.find_or_add(entry->second.machine), {job.spec().id, task});
  job.remove_attempt(task);
}

void attempt_outcomes::complete_task(job_store::job& job, std::uint32_t task) {
  release_placement(job, task);
  job.finish_task(task);
  jobs_.mark_task(job, task, job_store::write_urgency::deferrable);
  if (job.complete_if_all_tasks_done()) jobs_.mark_head(job);
  if (job.ready_to_finalize()) jobs_.finalize(job);
  events_.changed();
}

void attempt_outcomes::mark_lost(job_store::job& job, std::uint32_t task, loss_evidence evidence) {
  const auto entry = job.attempts().find(task);
  if (entry == job.attempts().end()) return;
  spdlog::info("task_lost job={} task={} attempt={} machine={} evidence={} term={}", job.spec().id,
               task, entry->second.number, entry->second.machine, text_of(evidence), token_);
  end_attempt(job, task);
  update_job_after_attempt_end(job, true);
}

void attempt_outcomes::mark_all_lost(const worker& holder, loss_evidence evidence) {
  const auto tasks = holder.attempts;
  for (const auto& [id, task] : tasks) {
    job_store::job* job = jobs_.find(id);
    if (job != nullptr) mark_lost(*job, task, evidence);
  }
}

void attempt_outcomes::end_attempt(job_store::job& job, std::uint32_t task) {
  release_placement(job, task);
  jobs_.mark_task(job, task, job_store::write_urgency::deferrable);
}

void attempt_outcomes::update_job_after_attempt_end(job_store::job& job, bool replaceable) {
  events_.changed();
  if (job.attempts().empty()) {
    job.reset_gang_attempt();
    if (job.ready_to_finalize()) jobs_.finalize(job);
    return;
  }
  if (!job.spec().gang || !job.active()) return;
  const bool already_stopping =
      std::any_of(job.attempts().begin(), job.attempts().end(),
                  [](const auto& entry) { return entry.second.stopping; });
  // If the gang has not started, only the missing member is placed again, with the same attempt
  // number. Otherwise, or if a member ended by itself, the whole gang is stopped and resumes from
  // its checkpoint as a new attempt.
  if (already_stopping || (replaceable && !job.gang_started())) return;
  stopper_.stop_all(job, duration::zero());
}

}  // namespace gingerdrift::workers
