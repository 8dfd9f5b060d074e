#include "support/sim_cloud.hpp"

namespace gingerdrift::testing {

sim_cloud::sim_cloud(site_context& context, sim_fleet& fleet) : context_(context), fleet_(fleet) {
  context_.net.serve(
      "cloud", "cloud:1",
      [this](const net::request& message, const net::reply_fn& reply) { handle(message, reply); });
}

void sim_cloud::handle(const net::request& message, const net::reply_fn& reply) {
  ++calls_;
  if (context_.net.now() < down_until_) return reply(json_response(503, {{"error", "trouble"}}));
  const std::string path = message.target.substr(0, message.target.find('?'));
  if (path == "/flavors") return list_machine_types(reply);
  if (path == "/rentals/release") return release_machines(json::parse(message.body), reply);
  if (message.method == "POST") return rent_machines(json::parse(message.body), reply);
  list_machines(reply);
}

void sim_cloud::list_machine_types(const net::reply_fn& reply) const {
  const json type = {
      {"label", "g8"},      {"vcpus", 64},      {"accelerators", 8},
      {"memGb", 256},       {"localGb", 50},    {"pullGbPerS", 1.0},
      {"hourly", 12.0},     {"spotPrice", 4.0}, {"readyS", context_.parameters.boot_s},
      {"yards", {"a", "b"}}};
  reply(json_response(200, {{"flavors", json::array({type})}}));
}

void sim_cloud::release_machines(const json& body, const net::reply_fn& reply) {
  for (const auto& name : body.at("hosts")) {
    const auto entry = fleet_.machines().find(name.get<std::string>());
    if (entry == fleet_.machines().end()) continue;
    context_.event_counts["released_with_tasks"] += !entry->second->tasks().empty();
    entry->second->vanish();
  }
  reply(json_response(200, json::object()));
}

std::size_t sim_cloud::count_machines(const std::string& zone, bool spot) const {
  std::size_t count = 0;
  for (const auto& [name, machine] : fleet_.machines())
    count += !machine->is_gone() && machine->zone() == zone && machine->spot() == spot;
  return count;
}

/// A repeated request returns the same machines. If the capacity is not sufficient, fewer machines
/// than requested are created.
void sim_cloud::rent_machines(const json& body, const net::reply_fn& reply) {
  const auto request_id = body.at("ask").get<std::string>();
  if (rentals_.count(request_id) != 0)
    return reply(json_response(200, {{"hosts", rentals_[request_id]}}));
  const auto zone = body.at("yard").get<std::string>();
  const bool spot = body.at("loaners").get<bool>();
  const auto requested_count = body.at("howMany").get<std::size_t>();
  auto& net = context_.net;
  const auto& parameters = context_.parameters;
  std::vector<std::string> names;
  std::size_t existing = count_machines(zone, spot);
  for (; names.size() < requested_count && existing < parameters.capacity; ++existing) {
    auto& machine = fleet_.create_machine(zone, spot);
    net.after(from_seconds(parameters.boot_s * net.uniform(0.6, 1.5)),
              [&machine] { machine.boot(); });
    names.push_back(machine.name());
  }
  if (names.empty()) return reply(json_response(503, {{"error", "no capacity"}}));
  rentals_[request_id] = names;
  reply(json_response(200, {{"hosts", names}}));
}

json sim_cloud::current_listing() const {
  json machines = json::array();
  for (const auto& [name, machine] : fleet_.machines()) {
    if (machine->is_gone()) continue;
    machines.push_back({{"nameId", name},
                        {"addr", context_.machine_address(name)},
                        {"flavor", "g8"},
                        {"yard", machine->zone()},
                        {"loaners", machine->spot()},
                        {"status", machine->is_up() ? "running" : "starting"},
                        {"ageS", to_seconds(context_.net.now() - machine->created_at())}});
  }
  return machines;
}

/// Returns an outdated list, which may be older than the list returned before it.
void sim_cloud::list_machines(const net::reply_fn& reply) {
  auto& net = context_.net;
  listings_.push_back({.taken = net.now(), .machines = current_listing()});
  const duration lag = from_seconds(context_.parameters.list_lag_s * net.uniform(0.5, 2.0));
  const time_point listed_time = net.now() - lag;
  json machines = json::array();
  for (const auto& [taken, listed] : listings_) {
    if (taken <= listed_time) machines = listed;
  }
  reply(json_response(200, {{"hosts", machines}, {"truncated", false}}));
}

}  // namespace gingerdrift::testing
