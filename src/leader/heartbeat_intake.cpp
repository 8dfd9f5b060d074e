#include "leader/heartbeat_intake.hpp"

#include <algorithm>
#include <utility>

namespace gingerdrift::leader {

namespace {
/// How long an answer may be held back for the next scheduling cycle.
constexpr duration max_hold_time = milliseconds(400);
/// How long a heartbeat may wait until all records have been read.
constexpr duration max_recovery_wait = seconds(1);

bool lists_unfinished_task(const workers::worker_heartbeat& heartbeat) {
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                     [](const workers::task_status& task) {
                       return task.phase != job_store::attempt_phase::exited;
                     });
}
}  // namespace

heartbeat_intake::heartbeat_intake(const term_context& context, machine_drain& drain,
                                   const scheduling_loop& loop, std::size_t max_early_heartbeats,
                                   callbacks owner_callbacks)
    : runtime_(context.runtime),
      jobs_(context.jobs),
      workers_(context.workers),
      machines_(context.machines),
      drain_(drain),
      loop_(loop),
      token_(context.token),
      max_early_heartbeats_(max_early_heartbeats),
      callbacks_(std::move(owner_callbacks)),
      term_start_(runtime_.now()),
      last_heartbeat_(term_start_),
      early_queue_(runtime_) {}

heartbeat_intake::~heartbeat_intake() {
  guard_.revoke();
  for (auto& held : held_heartbeats_) held.answer(std::nullopt);
  for (auto& early : early_heartbeats_) early.answer(std::nullopt);
}

void heartbeat_intake::receive(workers::worker_heartbeat heartbeat, answer_fn answer) {
  last_heartbeat_ = runtime_.now();
  if (machines_.was_removed(heartbeat.machine)) return answer(workers::encode_commands(token_, {}));
  if (!machines_.is_releasing(heartbeat.machine))
    machines_.heartbeat_received(heartbeat.machine, heartbeat.pool);
  // An answer renews the lease of all tasks on the worker. Before the records have been read, this
  // leader does not have the cancellations, so its answer would let cancelled tasks continue. If
  // several leaders in a row each lost the store while reading the records, the tasks would
  // continue for as long as this lasts (docs/design.md).
  if (!callbacks_.is_recovered() && lists_unfinished_task(heartbeat)) {
    defer_until_recovery(std::move(heartbeat), std::move(answer));
  } else {
    reconcile(std::move(heartbeat), std::move(answer));
  }
}

void heartbeat_intake::defer_until_recovery(workers::worker_heartbeat heartbeat, answer_fn answer) {
  if (early_heartbeats_.size() >= max_early_heartbeats_) return answer(std::nullopt);
  early_heartbeats_.push_back(
      {std::move(heartbeat), std::move(answer), runtime_.now() + max_recovery_wait});
  runtime_.after(max_recovery_wait, guard_.wrap([this] { redirect_expired(); }));
}

void heartbeat_intake::process_early_heartbeats() {
  const std::size_t waiting = early_heartbeats_.size();
  for (std::size_t i = 0; i < waiting; ++i)
    early_queue_.run([this] { process_next_early_heartbeat(); });
}

void heartbeat_intake::process_next_early_heartbeat() {
  early_heartbeat early = std::move(early_heartbeats_.front());
  early_heartbeats_.pop_front();
  receive(std::move(early.heartbeat), std::move(early.answer));
}

/// Redirects the workers whose wait has timed out while the records are still being read, because
/// another controller may be able to answer sooner.
void heartbeat_intake::redirect_expired() {
  if (callbacks_.is_recovered()) return;
  const time_point now = runtime_.now();
  auto waiting = std::exchange(early_heartbeats_, {});
  for (auto& early : waiting) {
    if (now >= early.deadline) {
      early.answer(std::nullopt);
    } else {
      early_heartbeats_.push_back(std::move(early));
    }
  }
}

/// If a heartbeat frees capacity, its answer is held back so that it can carry the starts that fill
/// this capacity: starts are sent only in answers to heartbeats, and the next heartbeat may be
/// seconds away. The wait is limited to max_hold_time.
void heartbeat_intake::reconcile(workers::worker_heartbeat heartbeat, answer_fn answer) {
  const auto* before = workers_.find(heartbeat.machine);
  const std::size_t attempts_before = before == nullptr ? 0 : before->attempts.size();
  std::string commands = workers_.handle(heartbeat);
  auto* worker = workers_.find(heartbeat.machine);
  if (worker != nullptr && worker->termination_notice) drain_.drain(*worker);
  const bool freed_places = worker != nullptr && worker->attempts.size() < attempts_before;
  if (freed_places && callbacks_.lease_valid() && workers_.accepts_tasks(*worker)) {
    hold_answer(std::move(heartbeat), std::move(answer));
  } else {
    answer(std::move(commands));
  }
}

void heartbeat_intake::hold_answer(workers::worker_heartbeat heartbeat, answer_fn answer) {
  held_heartbeats_.push_back({std::move(heartbeat), std::move(answer),
                              runtime_.now() + max_hold_time, loop_.cycles_started()});
  runtime_.after(max_hold_time, guard_.wrap([this] { answer_held_heartbeats(); }));
}

void heartbeat_intake::answer_held_heartbeats() {
  const time_point now = runtime_.now();
  const auto first_ready = std::stable_partition(
      held_heartbeats_.begin(), held_heartbeats_.end(), [&](const held_heartbeat& held) {
        if (now >= held.deadline) return false;
        const bool cycle_finished = loop_.cycles_finished() > held.cycles_started_at_receipt;
        return !cycle_finished || !all_attempts_stored(held.heartbeat.machine);
      });
  std::vector<held_heartbeat> ready(std::make_move_iterator(first_ready),
                                    std::make_move_iterator(held_heartbeats_.end()));
  held_heartbeats_.erase(first_ready, held_heartbeats_.end());
  for (auto& held : ready) held.answer(workers_.answer_deferred(held.heartbeat));
}

/// Reports whether all attempts on the machine are stored. An answer contains the start of an
/// attempt only once the attempt is stored.
bool heartbeat_intake::all_attempts_stored(const machine_name& machine) {
  const auto* worker = workers_.find(machine);
  if (worker == nullptr) return true;
  return std::all_of(worker->attempts.begin(), worker->attempts.end(), [&](const task_id& id) {
    const auto* job = jobs_.find(id.job);
    if (job == nullptr) return true;
    const auto attempt = job->attempts().find(id.index);
    return attempt == job->attempts().end() || job->attempt_stored(id.index, attempt->second);
  });
}

}  // namespace gingerdrift::leader
