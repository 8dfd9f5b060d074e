#include "workers/machine_reachability.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

namespace gingerdrift::workers {

namespace {
/// Every worker answers a request for this path with the list of its tasks.
constexpr const char* probe_path = "/show";
constexpr auto probe_deadline = seconds(2);
/// Minimum time between two probes of the same machine.
constexpr auto min_probe_interval = seconds(2);
constexpr int status_ok = 200;

const char* text_of(unreachable_sign sign) {
  switch (sign) {
    case unreachable_sign::lease_expired:
      return "lease_expired";
    case unreachable_sign::start_not_taken:
      break;
  }
  return "start_not_taken";
}
}  // namespace

void machine_reachability::mark_unreachable(worker& target, unreachable_sign sign) {
  if (target.unreachable_since) return;
  spdlog::info("machine_unreachable machine={} sign={}", target.name, text_of(sign));
  target.unreachable_since = runtime_.now();
  target.unanswered_probes = 0;
  events_.changed();
}

void machine_reachability::probe() {
  const time_point now = runtime_.now();
  std::vector<worker*> due;
  for (auto& [name, candidate] : workers_.all()) {
    if (candidate.unreachable_since && candidate.reported_in_term && now >= candidate.next_probe)
      due.push_back(&candidate);
  }
  // The least recently probed machines come first, because a zone of a thousand machines that is
  // reachable again takes several rounds.
  std::stable_sort(due.begin(), due.end(),
                   [](const worker* a, const worker* b) { return a->next_probe < b->next_probe; });
  if (due.size() > probes_per_round_) due.resize(probes_per_round_);
  for (auto* target : due) {
    target->next_probe = now + min_probe_interval;
    send_probe(*target);
  }
}

void machine_reachability::send_probe(const worker& target) {
  runtime_.call(
      target.address, {"GET", probe_path, ""}, probe_deadline,
      guard_.wrap([this, machine = target.name,
                   incarnation = target.latest_position.incarnation](const net::response& reply) {
        on_probe_response(machine, incarnation, reply);
      }));
}

/// The task list in the response is ignored, because it may be older than a heartbeat that has
/// arrived in the meantime. Only the fact that the worker responded matters.
void machine_reachability::on_probe_response(const machine_name& machine,
                                             worker_incarnation incarnation,
                                             const net::response& reply) {
  worker* probed = workers_.find(machine);
  if (probed == nullptr || !probed->unreachable_since ||
      probed->latest_position.incarnation != incarnation)
    return;
  if (reply.status != status_ok) {
    ++probed->unanswered_probes;
    return;
  }
  spdlog::info("machine_reachable machine={}", machine);
  probed->unreachable_since.reset();
  probed->idle_since = runtime_.now();
  events_.changed();
}

}  // namespace gingerdrift::workers
