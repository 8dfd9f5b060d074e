#include "soak/fault_schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace gingerdrift::testing {

namespace {

constexpr std::size_t kind_count = static_cast<std::size_t>(fault_kind::cancel_running_jobs) + 1;
constexpr duration no_fault = seconds(3);  // at the beginning, for the first election
constexpr double faults_per_second = 0.5;
constexpr int leaders_in_series = 3;
constexpr auto series_interval = seconds(4);
constexpr std::size_t affected_machines = 3;
constexpr std::size_t cancelled_jobs = 3;
constexpr double affected_share = 0.25;  // of transactions or heartbeats
constexpr auto state_delay = milliseconds(300);

const char* name_of(fault_kind kind) {
  switch (kind) {
    case fault_kind::crash_leader:
      return "crash_leader";
    case fault_kind::crash_controller:
      return "crash_controller";
    case fault_kind::crash_all:
      return "crash_all";
    case fault_kind::pause_leader:
      return "pause_leader";
    case fault_kind::cut_leader_from_state:
      return "cut_leader_from_state";
    case fault_kind::hold_leader_to_state:
      return "hold_leader_to_state";
    case fault_kind::refuse_leader_by_state:
      return "refuse_leader_by_state";
    case fault_kind::cut_leader_from_peers:
      return "cut_leader_from_peers";
    case fault_kind::state_outage:
      return "state_outage";
    case fault_kind::slow_state:
      return "slow_state";
    case fault_kind::lose_state_answers:
      return "lose_state_answers";
    case fault_kind::delay_transactions:
      return "delay_transactions";
    case fault_kind::late_heartbeats:
      return "late_heartbeats";
    case fault_kind::hang_machines:
      return "hang_machines";
    case fault_kind::mute_machines:
      return "mute_machines";
    case fault_kind::cancel_running_jobs:
      break;
  }
  return "cancel_running_jobs";
}

/// Returns how long faults of this kind last at least and at most, in seconds.
std::pair<double, double> range_of_span(fault_kind kind) {
  switch (kind) {
    case fault_kind::crash_leader:
    case fault_kind::crash_controller:
    case fault_kind::crash_all:
      return {0.1, 5};
    case fault_kind::pause_leader:
      return {0.5, 7};
    case fault_kind::state_outage:
      return {1, 15};
    default:
      return {2, 10};
  }
}

std::string host_of_controller(std::size_t node) { return "node-" + std::to_string(node); }

/// Returns the index of the leader according to the state service; 0 if there is none.
std::size_t current_leader(const loopback_site& target) {
  const json* record = target.state.peek("gd/leader");
  if (record == nullptr) return 0;
  const auto host = record->at("node").get<std::string>();
  return std::stoul(host.substr(host.find('-') + 1));
}

std::vector<sim_machine*> some_machines(loopback_site& target) {
  std::vector<sim_machine*> chosen;
  for (const auto& [name, machine] : target.site.fleet.machines()) {
    if (machine->is_up() && chosen.size() < affected_machines) chosen.push_back(machine.get());
  }
  return chosen;
}

void cut_leader_from_state(loopback_site& target, duration span, sim_net::cut_mode mode) {
  target.net.cut(host_of_controller(current_leader(target)), "state", span, mode);
}

void cut_leader_from_peers(loopback_site& target, duration span) {
  const std::size_t leader = current_leader(target);
  for (std::size_t node = 0; node < target.controllers(); ++node) {
    if (node == leader) continue;
    target.net.cut(host_of_controller(leader), host_of_controller(node), span,
                   sim_net::cut_mode::drop);
  }
}

}  // namespace

std::vector<scheduled_fault> make_fault_schedule(std::uint64_t seed, std::size_t controllers,
                                                 duration span) {
  std::mt19937_64 random(seed);
  const auto uniform = [&random](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  std::vector<scheduled_fault> schedule;
  const auto count = static_cast<std::size_t>(to_seconds(span) * faults_per_second);
  while (schedule.size() < count) {
    const auto kind = static_cast<fault_kind>(random() % kind_count);
    const auto [shortest, longest] = range_of_span(kind);
    scheduled_fault fault{.kind = kind,
                          .begins = no_fault + from_seconds(uniform(0, to_seconds(span))),
                          .lasts = from_seconds(uniform(shortest, longest)),
                          .controller = random() % controllers};
    const bool series = kind == fault_kind::crash_leader && random() % 2 == 0;
    for (int i = 0; i < (series ? leaders_in_series : 1); ++i) {
      schedule.push_back(fault);
      fault.begins += series_interval;
    }
  }
  std::ranges::stable_sort(schedule, {}, &scheduled_fault::begins);
  return schedule;
}

std::string text_of(const scheduled_fault& fault) {
  std::string text = fmt::format("at {:.1f} s: {} for {:.1f} s", to_seconds(fault.begins),
                                 name_of(fault.kind), to_seconds(fault.lasts));
  if (fault.kind == fault_kind::crash_controller)
    text += " controller=" + std::to_string(fault.controller);
  return text;
}

void inject(loopback_site& target, const scheduled_fault& fault) {
  const duration span = fault.lasts;
  switch (fault.kind) {
    case fault_kind::crash_leader:
      return target.crash_for(current_leader(target), span);
    case fault_kind::crash_controller:
      return target.crash_for(fault.controller, span);
    case fault_kind::crash_all:
      for (std::size_t node = 0; node < target.controllers(); ++node) target.crash_for(node, span);
      return;
    case fault_kind::pause_leader:
      return target.pause_for(current_leader(target), span);
    case fault_kind::cut_leader_from_state:
      return cut_leader_from_state(target, span, sim_net::cut_mode::drop);
    case fault_kind::hold_leader_to_state:
      return cut_leader_from_state(target, span, sim_net::cut_mode::hold);
    case fault_kind::refuse_leader_by_state:
      return cut_leader_from_state(target, span, sim_net::cut_mode::refuse);
    case fault_kind::cut_leader_from_peers:
      return cut_leader_from_peers(target, span);
    case fault_kind::state_outage:
      return target.state.start_outage(span);
    case fault_kind::slow_state:
      return target.state.slow_down(state_delay, span);
    case fault_kind::lose_state_answers:
      return target.state.lose_answers(affected_share, span);
    case fault_kind::delay_transactions:
      return target.state.delay_transactions(affected_share, span);
    case fault_kind::late_heartbeats:
      return target.net.copy_late("/v1/report", affected_share, seconds(10), span);
    case fault_kind::hang_machines:
      for (auto* machine : some_machines(target)) machine->hang(span);
      return;
    case fault_kind::mute_machines:
      for (const auto* machine : some_machines(target)) target.net.mute(machine->name(), span);
      return;
    case fault_kind::cancel_running_jobs:
      return target.site.users.cancel_running(cancelled_jobs, duration::zero());
  }
}

}  // namespace gingerdrift::testing
