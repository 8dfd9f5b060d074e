#include "leader/heartbeat_intake.hpp"

#include <algorithm>
#include <utility>

namespace gingerdrift::leader {

namespace {
/// How long an answer may wait for the next scheduling cycle.
constexpr duration longest_hold = milliseconds(400);
/// How long a heartbeat may wait for the records to be read.
constexpr duration longest_early_wait = seconds(1);

bool lists_live_task(const workers::worker_heartbeat& heartbeat) {
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                     [](const workers::task_status& task) {
                       return task.phase != job_store::attempt_phase::exited;
                     });
}
}  // namespace

heartbeat_intake::heartbeat_intake(const term_context& context, machine_drain& drain,
                                   const scheduling_loop& loop, std::size_t most_early,
                                   callbacks owner)
    : runtime_(context.runtime),
      jobs_(context.jobs),
      workers_(context.workers),
      machines_(context.machines),
      drain_(drain),
      loop_(loop),
      token_(context.token),
      most_early_(most_early),
      callbacks_(std::move(owner)),
      term_start_(runtime_.now()),
      last_heartbeat_(term_start_) {}

heartbeat_intake::~heartbeat_intake() {
  guard_.revoke();
  for (auto& held : held_) held.answer(std::nullopt);
  for (auto& early : early_) early.answer(std::nullopt);
}

void heartbeat_intake::receive(workers::worker_heartbeat heartbeat, answer_fn answer) {
  last_heartbeat_ = runtime_.now();
  if (machines_.was_removed(heartbeat.machine)) return answer(workers::encode_commands(token_, {}));
  if (!machines_.is_releasing(heartbeat.machine))
    machines_.heartbeat_received(heartbeat.machine, heartbeat.pool);
  // An answer renews the lease of everything the worker has. Who has not read the records yet
  // knows of no cancellation: an answer would let cancelled tasks go on, by chains of successors
  // that each lose the store while reading for as long as the chain is (docs/design.md).
  if (!callbacks_.recovered() && lists_live_task(heartbeat)) {
    keep_early(std::move(heartbeat), std::move(answer));
  } else {
    reconcile(std::move(heartbeat), std::move(answer));
  }
}

void heartbeat_intake::keep_early(workers::worker_heartbeat heartbeat, answer_fn answer) {
  if (early_.size() >= most_early_) return answer(std::nullopt);
  early_.push_back({std::move(heartbeat), std::move(answer), runtime_.now() + longest_early_wait});
  runtime_.after(longest_early_wait, guard_.wrap([this] { redirect_overdue(); }));
}

void heartbeat_intake::receive_early() {
  auto waiting = std::exchange(early_, {});
  for (auto& early : waiting) receive(std::move(early.heartbeat), std::move(early.answer));
}

/// The records are still not read: another controller may be better placed.
void heartbeat_intake::redirect_overdue() {
  const time_point now = runtime_.now();
  auto waiting = std::exchange(early_, {});
  for (auto& early : waiting) {
    if (now >= early.deadline) {
      early.answer(std::nullopt);
    } else {
      early_.push_back(std::move(early));
    }
  }
}

/// A heartbeat that frees places is answered with what fills them: a start may only go in a
/// heartbeat's answer, and the next heartbeat may be seconds away. The wait is short and bounded.
void heartbeat_intake::reconcile(workers::worker_heartbeat heartbeat, answer_fn answer) {
  const auto* before = workers_.find(heartbeat.machine);
  const std::size_t attempts_before = before == nullptr ? 0 : before->attempts.size();
  std::string commands = workers_.handle(heartbeat);
  auto* worker = workers_.find(heartbeat.machine);
  if (worker != nullptr && worker->termination_notice) drain_.drain(*worker);
  const bool freed_places = worker != nullptr && worker->attempts.size() < attempts_before;
  if (freed_places && callbacks_.lease_valid() && workers_.accepts_tasks(*worker)) {
    hold(std::move(heartbeat), std::move(answer));
  } else {
    answer(std::move(commands));
  }
}

void heartbeat_intake::hold(workers::worker_heartbeat heartbeat, answer_fn answer) {
  held_.push_back({std::move(heartbeat), std::move(answer), runtime_.now() + longest_hold,
                   loop_.cycles_begun()});
  runtime_.after(longest_hold, guard_.wrap([this] { answer_held(); }));
}

void heartbeat_intake::answer_held() {
  const time_point now = runtime_.now();
  const auto first_ready =
      std::stable_partition(held_.begin(), held_.end(), [&](const held_heartbeat& held) {
        if (now >= held.deadline) return false;
        const bool cycle_done = loop_.cycles_done() > held.cycles_before;
        return !cycle_done || !attempts_stored(held.heartbeat.machine);
      });
  std::vector<held_heartbeat> ready(std::make_move_iterator(first_ready),
                                    std::make_move_iterator(held_.end()));
  held_.erase(first_ready, held_.end());
  for (auto& held : ready) held.answer(workers_.answer(held.heartbeat));
}

/// Whether all attempts on the machine are stored: starts go out in an answer only once they are.
bool heartbeat_intake::attempts_stored(const machine_name& machine) {
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
