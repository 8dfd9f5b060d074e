// tests/rule_checks_test.cpp verifies that each check reports violations.
#include "support/answer_rules.hpp"

#include <algorithm>

namespace gingerdrift::testing {

void answer_rules::state_received(const state_answer& answer) {
  const auto& [job, state, requested_at] = answer;
  check_against_first_final(answer);
  if (users_.record(job).is_finished() && !is_final_state(state)) return;
  if (state == "done" && !fleet_.is_job_done(job)) context_.violations.add("not_done " + job);
  if (state == "cancelled") check_cancelled_by_user(job);
  if (!is_final_state(state)) check_not_orphaned(answer);
  if (state == "cancelled" && history_.confirm_cancellation(job)) count_cancellation(job);
}

/// Concurrent requests may be answered in either order, so a non-final state is a violation only if
/// it was requested after the first final state was received. Two final states must be equal
/// regardless of when they were requested.
void answer_rules::check_against_first_final(const state_answer& answer) {
  const auto& [job, state, requested_at] = answer;
  const bool is_final = is_final_state(state);
  if (const auto& first = users_.record(job).first_final) {
    const bool is_older = !is_final && requested_at >= first->received_at;
    const bool differs = is_final && state != first->state;
    if (is_older || differs)
      context_.violations.add("went_back " + job + " " + first->state + " -> " + state);
    return;
  }
  if (!is_final || !stored_final_state) return;
  const std::string stored = stored_final_state(job);
  if (stored != state)
    context_.violations.add("went_back " + job + " told " + state + ", stored \"" + stored + "\"");
}

void answer_rules::check_cancelled_by_user(const std::string& job) {
  if (!history_.cancellation_requested(job))
    context_.violations.add("went_back " + job + " cancelled by nobody");
  if (!users_.record(job).cancel_requested) ++context_.event_counts["cancelled_with_a_dependency"];
}

/// A job must not be reported as queued or running more than `cancel_s` after users received the
/// cancellation of one of its ancestors. machine_rules checks that no task of it remains on a
/// machine.
void answer_rules::check_not_orphaned(const state_answer& answer) {
  const auto since = history_.cancelled_with_ancestor_since(answer.job);
  if (since && context_.net.now() - *since > from_seconds(context_.parameters.cancel_s))
    context_.violations.add("orphaned " + answer.job + " " + answer.state);
}

void answer_rules::count_cancellation(const std::string& job) {
  bool has_live_task = false;
  bool on_hanging_machine = false;
  fleet_.for_each_task([&](const sim_machine& machine, const task_key& key, const auto& task) {
    if (key.job != job || task.phase == task_phase::ended) return;
    has_live_task = true;
    on_hanging_machine = on_hanging_machine || machine.is_hanging();
  });
  ++context_.event_counts["cancelled"];
  context_.event_counts["cancelled_with_live_tasks"] += has_live_task;
  context_.event_counts["cancelled_on_hanging_machines"] += on_hanging_machine;
}

void answer_rules::check_cancelled_jobs() {
  for (const auto& [job, record] : users_.records()) {
    if (record.state != "cancelled" || record.cancel_requested) continue;
    const auto ancestors = history_.ancestors(job);
    const bool justified = std::any_of(
        ancestors.begin(), ancestors.end(),
        [this](const std::string& name) { return users_.record(name).state == "cancelled"; });
    if (!justified) context_.violations.add("went_back " + job + " cancelled with nobody");
  }
}

}  // namespace gingerdrift::testing
