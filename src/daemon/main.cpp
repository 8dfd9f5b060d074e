#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>
#include <string>

#include "config/connection_budget.hpp"
#include "daemon/controller.hpp"
#include "daemon/logging.hpp"
#include "leader/scheduling_policy.hpp"
#include "net/http_server.hpp"
#include "net/uv_runtime.hpp"

namespace {

using namespace gingerdrift;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;  // wrong arguments or settings
constexpr std::size_t largest_peer_message = std::size_t{128} << 10;

/// What the command line says.
struct arguments {
  std::string platform_file;
  std::string operator_file;  // empty: the defaults
  bool check_only = false;
};

void add_options(CLI::App& app, arguments& arguments) {
  app.set_version_flag("--version", std::string("gingerdrift ") + GINGERDRIFT_VERSION);
  app.add_option("--config", arguments.platform_file, "the platform's settings (TOML)")->required();
  app.add_option("--settings", arguments.operator_file, "the operators' own settings (XML)");
  app.add_flag("--check", arguments.check_only, "check both settings files and exit");
}

net::client_limits call_limits(const config::connection_budget& connections) {
  net::client_limits limits;
  limits.connections_total = connections.calls;
  return limits;
}

net::server_limits front_limits(const config::connection_budget& connections) {
  net::server_limits limits;
  limits.connections = connections.front;
  limits.backlog = connections.front_backlog;
  return limits;
}

net::server_limits peer_limits(const config::connection_budget& connections) {
  net::server_limits limits;
  limits.connections = connections.peers;
  limits.backlog = connections.peer_backlog;
  limits.request_body_bytes = largest_peer_message;
  return limits;
}

std::uint64_t random_seed() {
  std::random_device entropy;
  return (std::uint64_t{entropy()} << 32) ^ entropy();
}

/// Returns the exit status, if it can't listen; otherwise it runs for ever.
int run(const config::platform_settings& platform, const config::operator_settings& rules) {
  const auto connections = config::connection_budget::of(platform.max_connections);
  net::uv_runtime runtime(call_limits(connections));
  leader::threaded_scheduling_executor executor(
      leader::scheduling_policy(rules),
      [&runtime](std::function<void()> action) { runtime.post(std::move(action)); });
  daemon::controller controller(runtime, executor, platform, rules, random_seed());
  net::http_server front(runtime, front_limits(connections),
                         [&](const net::request& message, const net::reply_fn& reply) {
                           controller.handle_front(message, reply);
                         });
  net::http_server peer_server(runtime, peer_limits(connections),
                               [&](const net::request& message, const net::reply_fn& reply) {
                                 controller.handle_mesh(message, reply);
                               });
  for (const auto& failure :
       {front.listen(platform.listen), peer_server.listen(platform.peer_listen)}) {
    if (!failure) continue;
    std::cerr << "gingerdrift: can't listen: " << failure->message() << "\n";
    return exit_failure;
  }
  spdlog::info("controller_started version={} node={} address={}", GINGERDRIFT_VERSION,
               platform.node, platform.listen);
  controller.start();
  runtime.run();
  return 0;
}

/// Reads the settings, and runs the controller unless they are only to be checked.
int run(const arguments& arguments) {
  const auto platform = config::read_platform_settings(arguments.platform_file);
  config::operator_settings rules;
  if (!arguments.operator_file.empty())
    rules = config::read_operator_settings(arguments.operator_file);
  if (arguments.check_only) {
    std::cout << "settings are fine\n";
    return 0;
  }
  return run(platform, rules);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"gingerdrift: a cluster scheduler with concurrent admission"};
  arguments arguments;
  add_options(app, arguments);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : exit_usage;
  }
  try {
    daemon::set_up_logging();
    return run(arguments);
  } catch (const config::settings_error& error) {
    std::cerr << "gingerdrift: " << error.what() << "\n";
    return exit_usage;
  } catch (const std::exception& error) {
    std::cerr << "gingerdrift: " << error.what() << "\n";
    return exit_failure;
  }
}
