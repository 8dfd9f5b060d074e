#include "leader/scheduling_loop.hpp"

#include <algorithm>

namespace gingerdrift::leader {

namespace {
/// Cycles are spaced by so many times what the last one took, and no longer than the longest pause.
/// A fleet of several thousand machines needs the processor for its heartbeats first: from
/// `large_fleet` machines on, both grow with it.
constexpr double pause_per_cycle_time = 3;
constexpr duration longest_pause = seconds(1);
constexpr double large_fleet = 2000;
/// Lets changes that come together be seen by one cycle.
constexpr duration batching_delay = milliseconds(10);

duration pause_between_cycles(duration cycle_time, duration shortest, std::size_t machines) {
  const double growth = std::max(1.0, static_cast<double>(machines) / large_fleet);
  const duration longest = from_seconds(to_seconds(longest_pause) * growth);
  const duration spaced = from_seconds(to_seconds(cycle_time) * pause_per_cycle_time * growth);
  return std::clamp(spaced, shortest, std::max(shortest, longest));
}
}  // namespace

scheduling_loop::scheduling_loop(const term_context& context, scheduling_executor& executor,
                                 snapshot_builder& snapshots, decision_applier& decisions,
                                 callbacks owner)
    : runtime_(context.runtime),
      executor_(executor),
      snapshots_(snapshots),
      decisions_(decisions),
      machines_(context.machines),
      metrics_(context.measured),
      token_(context.token),
      shortest_pause_(context.rules.min_scheduling_interval),
      callbacks_(std::move(owner)),
      timer_(runtime_) {}

void scheduling_loop::request_cycle() {
  changed_since_snapshot_ = true;
  if (!callbacks_.recovered() || cycle_running_ || timer_.armed()) return;
  const time_point now = runtime_.now();
  const duration pause =
      pause_between_cycles(last_duration_, shortest_pause_, machines_.all().size());
  const time_point next = std::max(now + batching_delay, last_begin_ + pause);
  timer_.start(next - now, [this] { run_cycle(); });
}

void scheduling_loop::run_cycle() {
  if (!callbacks_.lease_valid() || machines_.types().empty()) return;
  cycle_running_ = true;
  ++cycles_begun_;
  changed_since_snapshot_ = false;
  last_begin_ = runtime_.now();
  executor_.run_cycle(token_, take_snapshot(),
                      guard_.wrap([this](const admission::decisions& decisions, duration took) {
                        finish_cycle(decisions, took);
                      }));
}

admission::snapshot scheduling_loop::take_snapshot() {
  const stopwatch watch(metrics_.snapshot_time);
  return snapshots_.build();
}

void scheduling_loop::finish_cycle(const admission::decisions& decisions, duration computing_time) {
  cycle_running_ = false;
  ++cycles_done_;
  metrics_.scheduling_cycles.add(computing_time);
  if (callbacks_.lease_valid()) {
    const stopwatch watch(metrics_.decision_time);
    decisions_.apply(decisions);
  }
  last_duration_ = runtime_.now() - last_begin_;
  callbacks_.cycle_done();
  if (changed_since_snapshot_) request_cycle();
}

}  // namespace gingerdrift::leader
