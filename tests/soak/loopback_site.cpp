#include "soak/loopback_site.hpp"

#include <unistd.h>

#include <fstream>
#include <stdexcept>

#include "support/settings_text.hpp"
#include "support/stored_record_checks.hpp"

namespace gingerdrift::testing {

namespace {

constexpr auto clock_step = milliseconds(2);
/// Longer than any deadline of a caller: a request that is lost stays unanswered.
constexpr auto no_deadline = seconds(120);
constexpr auto forwarding_deadline = seconds(20);
constexpr std::size_t max_forwarded_body = std::size_t{1} << 20;
const std::string state_address = "state:1";
const std::string cloud_address = "cloud:1";

std::string host_name(std::size_t node) { return "node-" + std::to_string(node); }
std::string front_name(std::size_t node) { return host_name(node) + ":1"; }
std::string peer_name(std::size_t node) { return host_name(node) + ":2"; }
/// The controller node-2 is in zone b, all others are in zone a, as in sim_service.
zone_name zone_of(std::size_t node) { return node == 2 ? zone_name("b") : zone_name("a"); }

std::vector<std::string> front_names(std::size_t controllers) {
  std::vector<std::string> names;
  for (std::size_t node = 0; node < controllers; ++node) names.push_back(front_name(node));
  return names;
}

net::client_limits client_limits() {
  net::client_limits limits;
  limits.connections_total = 2000;
  limits.connections_per_address = 500;
  return limits;
}

net::server_limits server_limits() {
  net::server_limits limits;
  limits.connections = 1000;
  limits.request_body_bytes = max_forwarded_body;
  return limits;
}

}  // namespace

loopback_site::loopback_site(std::uint64_t seed, std::size_t controllers,
                             const std::string& program, std::filesystem::path directory)
    : runtime(client_limits()),
      net(seed),
      state(net, state_address),
      site(net, {}, front_names(controllers)),
      addresses_(static_cast<std::size_t>(getpid())),
      directory_(std::move(directory)),
      advanced_until_(runtime.now()),
      clock_timer_(runtime) {
  const auto settings = platform_settings_of(site.parameters);
  state.set_limits(settings.state_limits);
  for (const auto& team : settings.teams) site.limits[team.name] = team.gpus_max;
  site.machine_address = [this](const std::string& machine) { return machine_address(machine); };
  check_stored_records(state, site);
  for (std::size_t node = 0; node < controllers; ++node) {
    write_settings(node);
    serve_controller(node, addresses_.state(node), state_address);
    serve_controller(node, addresses_.cloud(node), cloud_address);
    serve_simulated(host_name(node), front_name(node), addresses_.front(node));
    serve_simulated(host_name(node), peer_name(node), addresses_.peer(node));
    for (std::size_t peer = 0; peer < controllers; ++peer) {
      if (peer != node) serve_controller(node, addresses_.link(node, peer), peer_name(peer));
    }
    const std::string base = (directory_ / host_name(node)).string();
    processes_.push_back(
        std::make_unique<controller_process>(program, base + ".toml", base + ".log"));
  }
  for (auto& process : processes_) process->start();
  advance_virtual_time();
}

void loopback_site::run_for(duration span) {
  runtime.after(span, [this] { runtime.stop(); });
  runtime.run();
}

void loopback_site::advance_virtual_time() {
  const time_point now = runtime.now();
  net.run_for(now - advanced_until_);
  advanced_until_ = now;
  clock_timer_.start(clock_step, [this] { advance_virtual_time(); });
}

void loopback_site::write_settings(std::size_t node) {
  auto own = platform_settings_of(site.parameters);
  own.node = node_name(host_name(node));
  own.zone = zone_of(node);
  own.listen = addresses_.front(node);
  own.peer_listen = addresses_.peer(node);
  own.state = addresses_.state(node);
  own.cloud = addresses_.cloud(node);
  for (std::size_t peer = 0; peer < site.controller_addresses.size(); ++peer) {
    if (peer == node) continue;
    own.peers.push_back({.node = node_name(host_name(peer)),
                         .zone = zone_of(peer),
                         .address = addresses_.link(node, peer)});
  }
  std::ofstream(directory_ / (host_name(node) + ".toml")) << settings_text(own);
}

void loopback_site::serve_controller(std::size_t node, const std::string& real,
                                     const std::string& simulated) {
  listen(real, [this, node, simulated](const net::request& message, const net::reply_fn& reply) {
    net.call(host_name(node), simulated, message, no_deadline,
             [reply](const net::response& response) {
               if (response.status != 0) reply(response);
             });
  });
}

void loopback_site::serve_simulated(const std::string& host, const std::string& simulated,
                                    const std::string& real) {
  net.serve(host, simulated, [this, real](const net::request& message, const net::reply_fn& reply) {
    runtime.call(real, message, forwarding_deadline, reply);
  });
}

/// Returns the real address of a machine, at which its stand-in is served from the first use on.
std::string loopback_site::machine_address(const std::string& machine) {
  const auto known = machine_addresses_.find(machine);
  if (known != machine_addresses_.end()) return known->second;
  const std::string address = addresses_.machine(machine_addresses_.size());
  listen(address, [this, machine](const net::request& message, const net::reply_fn& reply) {
    net.call("controllers", machine + ":9", message, no_deadline,
             [reply](const net::response& response) {
               if (response.status != 0) reply(response);
             });
  });
  return machine_addresses_.emplace(machine, address).first->second;
}

void loopback_site::listen(const std::string& address, const net::handler_fn& handler) {
  static const net::server_limits limits = server_limits();
  auto server = std::make_unique<net::http_server>(runtime, limits, handler);
  if (const auto error = server->listen(address)) throw std::runtime_error(error->message());
  servers_.push_back(std::move(server));
}

void loopback_site::crash_for(std::size_t node, duration span) {
  processes_.at(node)->kill();
  net.after(span, [this, node] { processes_.at(node)->start(); });
}

void loopback_site::pause_for(std::size_t node, duration span) {
  processes_.at(node)->pause();
  net.after(span, [this, node] { processes_.at(node)->resume(); });
}

bool loopback_site::any_controller_ended() {
  bool ended = false;
  for (auto& process : processes_) ended = process->ended_by_itself() || ended;
  return ended;
}

}  // namespace gingerdrift::testing
