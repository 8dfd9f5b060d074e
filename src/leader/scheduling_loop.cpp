#include "leader/scheduling_loop.hpp"

#include <algorithm>

namespace gingerdrift::leader {

namespace {
/// The interval between the starts of two cycles, as a multiple of the duration of the last cycle.
constexpr double interval_per_cycle_time = 3;
/// Upper limit of this interval.
constexpr duration max_cycle_interval = seconds(1);
/// For fleets larger than this, the multiple and the upper limit grow in proportion to the fleet:
/// the heartbeats of several thousand machines need the processor first.
constexpr double large_fleet_machines = 2000;
/// Delay between a change and the cycle that it requests, so that changes which occur together are
/// handled by one cycle.
constexpr duration batching_delay = milliseconds(10);

/// Returns the interval between the starts of two cycles. `shortest`: its lower limit, which takes
/// precedence over the upper one.
duration cycle_interval(duration cycle_time, duration shortest, std::size_t machines) {
  const double fleet_factor = std::max(1.0, static_cast<double>(machines) / large_fleet_machines);
  const duration longest = from_seconds(to_seconds(max_cycle_interval) * fleet_factor);
  const duration proportional =
      from_seconds(to_seconds(cycle_time) * interval_per_cycle_time * fleet_factor);
  return std::clamp(proportional, shortest, std::max(shortest, longest));
}
}  // namespace

scheduling_loop::scheduling_loop(const term_context& context, scheduling_executor& executor,
                                 snapshot_builder& snapshots, decision_applier& decisions,
                                 callbacks owner_callbacks)
    : runtime_(context.runtime),
      executor_(executor),
      snapshots_(snapshots),
      decisions_(decisions),
      machines_(context.machines),
      metrics_(context.controller_metrics),
      token_(context.token),
      min_cycle_interval_(context.operator_settings.min_scheduling_interval),
      callbacks_(std::move(owner_callbacks)),
      timer_(runtime_) {}

void scheduling_loop::request_cycle() {
  changed_since_snapshot_ = true;
  if (!callbacks_.is_recovered() || cycle_running_ || timer_.armed()) return;
  const time_point now = runtime_.now();
  const duration interval =
      cycle_interval(last_cycle_duration_, min_cycle_interval_, machines_.all().size());
  const time_point next = std::max(now + batching_delay, last_cycle_start_ + interval);
  timer_.start(next - now, [this] { run_cycle(); });
}

void scheduling_loop::run_cycle() {
  if (!callbacks_.lease_valid() || machines_.types().empty()) return;
  cycle_running_ = true;
  ++cycles_started_;
  changed_since_snapshot_ = false;
  last_cycle_start_ = runtime_.now();
  executor_.run_cycle(
      token_, take_snapshot(),
      guard_.wrap([this](const admission::decisions& decisions, duration computing_time) {
        finish_cycle(decisions, computing_time);
      }));
}

admission::snapshot scheduling_loop::take_snapshot() {
  const stopwatch watch(metrics_.loop_activities.snapshots);
  return snapshots_.build();
}

void scheduling_loop::finish_cycle(const admission::decisions& decisions, duration computing_time) {
  cycle_running_ = false;
  ++cycles_finished_;
  metrics_.scheduling_cycles.add(computing_time);
  if (callbacks_.lease_valid()) {
    const stopwatch watch(metrics_.loop_activities.decisions);
    decisions_.apply(decisions);
  }
  last_cycle_duration_ = runtime_.now() - last_cycle_start_;
  callbacks_.cycle_finished();
  if (changed_since_snapshot_) request_cycle();
}

}  // namespace gingerdrift::leader
