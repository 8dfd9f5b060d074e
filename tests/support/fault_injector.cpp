#include "support/fault_injector.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <stdexcept>

namespace gingerdrift::testing {

namespace {

duration span_of(const trace_line& line, const std::string& name = "for", double fallback = 0) {
  return from_seconds(line.number(name, fallback));
}

/// Returns the word that selects the target of a fault.
const std::string& target_of(const trace_line& line) { return line.words.at(3); }

sim_net::cut_mode cut_mode_of(const std::string& name) {
  if (name == "hold") return sim_net::cut_mode::hold;
  return name == "refuse" ? sim_net::cut_mode::refuse : sim_net::cut_mode::drop;
}

}  // namespace

kvstore::service_limits limits_of(const trace_line& line) {
  return {.requests_per_s = line.number("rps", 150),
          .writes_per_s = line.number("write_rps", 60),
          .value_kb = line.number("value_kb", 8),
          .txn_operations = static_cast<std::uint32_t>(line.number("txn_ops", 24))};
}

void fault_injector::inject(const trace_line& line) {
  static const std::map<std::string, handler> handlers = {
      {"upgrade", &fault_injector::upgrade},
      {"crash", &fault_injector::crash},
      {"freeze", &fault_injector::freeze},
      {"cut", &fault_injector::cut_controllers},
      {"cut_zone", &fault_injector::cut_zone},
      {"partition", &fault_injector::partition_zone},
      {"limits", &fault_injector::change_limits},
      {"outage", &fault_injector::start_state_outage},
      {"slow_store", &fault_injector::slow_state_service},
      {"lost_answers", &fault_injector::lose_answers},
      {"late_writes", &fault_injector::delay_transactions},
      {"late_heartbeats", &fault_injector::copy_heartbeats_late},
      {"unreachable", &fault_injector::drop_commands},
      {"mute", &fault_injector::mute_machines},
      {"hang", &fault_injector::hang_machines},
      {"vanish", &fault_injector::vanish_machines},
      {"query_all_controllers", &fault_injector::query_all_controllers},
      {"cancel_running", &fault_injector::cancel_running},
      {"cancel", &fault_injector::cancel_job},
      {"cancel_as_jobs_end", &fault_injector::cancel_as_jobs_end},
      {"unexpected_requests", &fault_injector::send_unexpected_requests},
  };
  const auto& verb = line.words.at(2);
  const auto entry = handlers.find(verb);
  if (entry == handlers.end()) throw std::invalid_argument("unknown fault " + verb);
  (this->*entry->second)(line);
}

std::vector<std::size_t> fault_injector::controllers_of(const std::string& word) const {
  const auto& leader = leaders_.last_leader();
  std::vector<std::size_t> controllers;
  for (std::size_t node = 0; node < service_.controllers(); ++node) {
    const bool is_leader = leader && node == *leader;
    const bool is_first_follower = controllers.empty() && node != leader;
    const bool is_named = word == "all" || word == node_host(node);
    if (is_named || (word == "leader" && is_leader) || (word == "follower" && is_first_follower))
      controllers.push_back(node);
  }
  return controllers;
}

std::vector<std::size_t> fault_injector::upgrade_order(const std::string& name) const {
  std::vector<std::size_t> order(service_.controllers());
  std::iota(order.begin(), order.end(), std::size_t{0});
  if (name == "backwards") std::reverse(order.begin(), order.end());
  const auto leader = leaders_.last_leader();
  if (!leader) return order;
  const auto is_leader = [leader](std::size_t node) { return node == *leader; };
  const auto is_follower = [leader](std::size_t node) { return node != *leader; };
  if (name == "leader_first") std::stable_partition(order.begin(), order.end(), is_leader);
  if (name == "leader_last") std::stable_partition(order.begin(), order.end(), is_follower);
  return order;
}

void fault_injector::upgrade(const trace_line& line) {
  const auto batch_size = static_cast<std::size_t>(line.number("batch", 1));
  const double interval_s = line.number("every", 10);
  const duration downtime = span_of(line, "downtime", 3);
  std::size_t position = 0;
  for (const auto node : upgrade_order(line.text("order"))) {
    const std::size_t batch_number = position++ / batch_size;
    const auto batch = static_cast<double>(batch_number);
    service_.net.after(from_seconds(interval_s * batch), [this, node, downtime] {
      ++service_.site.event_counts["upgraded_controllers"];
      service_.upgrade(node, downtime);
    });
  }
}

void fault_injector::crash(const trace_line& line) {
  for (const auto node : controllers_of(target_of(line))) service_.crash_for(node, span_of(line));
}

void fault_injector::freeze(const trace_line& line) {
  for (const auto node : controllers_of(target_of(line)))
    service_.net.freeze(node_host(node), span_of(line));
}

void fault_injector::cut_controllers(const trace_line& line) {
  const std::string mode_name = line.text("mode", "drop");
  const auto groups = split(line.text("from"));
  const duration span = span_of(line);
  for (const auto node : controllers_of(target_of(line))) {
    if (mode_name == "answers") {
      for (const auto& group : groups) service_.net.cut_one_way(group, node_host(node), span);
    } else {
      for (const auto& group : groups) cut_controller(node, group, span, cut_mode_of(mode_name));
    }
  }
}

void fault_injector::cut_controller(std::size_t node, const std::string& group, duration span,
                                    sim_net::cut_mode mode) {
  auto& net = service_.net;
  const std::string host = node_host(node);
  if (group == "state" || group == "cloud" || group == "users") net.cut(host, group, span, mode);
  if (group == "workers") {
    for (const auto& [name, machine] : service_.site.fleet.machines())
      net.cut(host, name, span, mode);
  }
  if (group == "peers") {
    for (std::size_t peer = 0; peer < service_.controllers(); ++peer) {
      if (peer != node) net.cut(host, node_host(peer), span, mode);
    }
  }
}

/// Cuts the controllers and machines of a zone from everything outside it, including the state
/// service, the cloud and users.
void fault_injector::cut_zone(const trace_line& line) {
  cut_zone_from(line, {"state", "cloud", "users"});
}

/// Cuts the controllers and machines of a zone from those of the other zone. The state service, the
/// cloud and users, which are regional, remain reachable.
void fault_injector::partition_zone(const trace_line& line) { cut_zone_from(line, {}); }

void fault_injector::cut_zone_from(const trace_line& line, std::vector<std::string> outside) {
  const std::string zone = target_of(line);
  std::vector<std::string> inside;
  for (std::size_t node = 0; node < service_.controllers(); ++node) {
    const std::string node_zone = sim_service::zone_of(node).str();
    (node_zone == zone ? inside : outside).push_back(node_host(node));
  }
  for (const auto& [name, machine] : service_.site.fleet.machines())
    (machine->zone() == zone ? inside : outside).push_back(name);
  const auto mode = cut_mode_of(line.text("mode", "drop"));
  for (const auto& inner : inside) {
    for (const auto& outer : outside) service_.net.cut(inner, outer, span_of(line), mode);
  }
}

void fault_injector::change_limits(const trace_line& line) {
  service_.state.set_limits(limits_of(line));
}
void fault_injector::start_state_outage(const trace_line& line) {
  service_.state.start_outage(span_of(line));
}
void fault_injector::slow_state_service(const trace_line& line) {
  service_.state.slow_down(span_of(line, "by"), span_of(line));
}
void fault_injector::lose_answers(const trace_line& line) {
  service_.state.lose_answers(line.number("share", 0.3), span_of(line));
}
void fault_injector::delay_transactions(const trace_line& line) {
  service_.state.delay_transactions(line.number("share", 0.3), span_of(line));
}

std::vector<sim_machine*> fault_injector::machines_of(const trace_line& line) const {
  const auto most = static_cast<std::size_t>(line.number("machines", 1e6));
  const std::string zone = line.text("zone");
  std::vector<sim_machine*> machines;
  for (const bool busy : {true, false}) {
    for (const auto& [name, machine] : service_.site.fleet.machines()) {
      const bool in_zone = zone.empty() || machine->zone() == zone;
      const bool matches = machine->is_up() && in_zone && machine->tasks().empty() != busy;
      if (matches && machines.size() < most) machines.push_back(machine.get());
    }
  }
  return machines;
}

std::vector<sim_machine*> fault_injector::affected_machines(const trace_line& line) {
  auto machines = machines_of(line);
  if (!machines.empty())
    service_.site.event_counts["machines_" + line.words.at(2)] += machines.size();
  return machines;
}

void fault_injector::copy_heartbeats_late(const trace_line& line) {
  service_.net.copy_late("/v1/report", line.number("share", 0.3), span_of(line, "longest", 20),
                         span_of(line));
}
void fault_injector::drop_commands(const trace_line& line) {
  for (const auto* machine : affected_machines(line))
    service_.site.fleet.cut_commands_to(*machine, span_of(line));
}
void fault_injector::mute_machines(const trace_line& line) {
  for (const auto* machine : affected_machines(line))
    service_.net.mute(machine->name(), span_of(line));
}
void fault_injector::hang_machines(const trace_line& line) {
  for (auto* machine : affected_machines(line)) machine->hang(span_of(line));
}
void fault_injector::vanish_machines(const trace_line& line) {
  for (auto* machine : affected_machines(line)) machine->vanish();
}

void fault_injector::query_all_controllers(const trace_line& line) {
  service_.site.probes.query_all_controllers_for(span_of(line));
}
void fault_injector::cancel_running(const trace_line& line) {
  service_.site.users.cancel_running(static_cast<std::size_t>(line.number("jobs", 4)),
                                     span_of(line, "hang"));
}
void fault_injector::cancel_job(const trace_line& line) {
  service_.site.users.cancel(target_of(line));
}
void fault_injector::cancel_as_jobs_end(const trace_line& line) {
  service_.site.users.cancel_as_jobs_end(line.number("share", 0.5), span_of(line));
}
void fault_injector::send_unexpected_requests(const trace_line& line) {
  service_.site.probes.send_unexpected_requests_for(span_of(line));
}

}  // namespace gingerdrift::testing
