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
constexpr int exit_usage = 2;  // invalid arguments or settings
constexpr std::size_t max_peer_message_bytes = std::size_t{128} << 10;

/// Parsed command-line arguments.
struct arguments {
  std::string platform_file;
  std::string operator_file;  // empty: the default settings apply
  bool check_only = false;
};

void add_options(CLI::App& app, arguments& arguments) {
  app.set_version_flag("--version", std::string("gingerdrift ") + GINGERDRIFT_VERSION);
  app.add_option("--config", arguments.platform_file, "the platform's settings (TOML)")->required();
  app.add_option("--settings", arguments.operator_file, "the operators' own settings (XML)");
  app.add_flag("--check", arguments.check_only, "check both settings files and exit");
}

net::client_limits outgoing_call_limits(const config::connection_budget& connections) {
  net::client_limits limits;
  limits.connections_total = connections.calls;
  return limits;
}

net::server_limits public_server_limits(const config::connection_budget& connections) {
  net::server_limits limits;
  limits.connections = connections.front;
  limits.backlog = connections.front_backlog;
  return limits;
}

net::server_limits peer_server_limits(const config::connection_budget& connections) {
  net::server_limits limits;
  limits.connections = connections.peers;
  limits.backlog = connections.peer_backlog;
  limits.request_body_bytes = max_peer_message_bytes;
  return limits;
}

std::uint64_t random_seed() {
  std::random_device entropy;
  return (std::uint64_t{entropy()} << 32) ^ entropy();
}

/// Runs the controller. Returns an exit status only if an address can't be listened on; otherwise
/// runs until the process is terminated.
int run(const config::platform_settings& platform_settings,
        const config::operator_settings& operator_settings) {
  const auto connections = config::connection_budget::of(platform_settings.max_connections);
  net::uv_runtime runtime(outgoing_call_limits(connections));
  leader::threaded_scheduling_executor executor(
      leader::scheduling_policy(operator_settings),
      [&runtime](std::function<void()> action) { runtime.post(std::move(action)); });
  daemon::controller controller(runtime, executor, platform_settings, operator_settings,
                                random_seed());
  net::http_server public_server(runtime, public_server_limits(connections),
                                 [&](const net::request& message, const net::reply_fn& reply) {
                                   controller.handle_public_request(message, reply);
                                 });
  net::http_server peer_server(runtime, peer_server_limits(connections),
                               [&](const net::request& message, const net::reply_fn& reply) {
                                 controller.handle_peer_request(message, reply);
                               });
  for (const auto& failure : {public_server.listen(platform_settings.listen),
                              peer_server.listen(platform_settings.peer_listen)}) {
    if (!failure) continue;
    std::cerr << "gingerdrift: can't listen: " << failure->message() << "\n";
    return exit_failure;
  }
  spdlog::info("controller_started version={} node={} address={}", GINGERDRIFT_VERSION,
               platform_settings.node, platform_settings.listen);
  controller.report_server("public", public_server);
  controller.report_server("peer", peer_server);
  runtime.observe_turns([&](duration busy) { controller.handle_turn_finished(busy); });
  controller.start();
  runtime.run();
  return 0;
}

/// Reads the settings and, unless they are only to be checked, runs the controller. Returns the
/// exit status.
int run(const arguments& arguments) {
  const auto platform_settings = config::read_platform_settings(arguments.platform_file);
  config::operator_settings operator_settings;
  if (!arguments.operator_file.empty())
    operator_settings = config::read_operator_settings(arguments.operator_file);
  if (arguments.check_only) {
    std::cout << "settings are fine\n";
    return 0;
  }
  return run(platform_settings, operator_settings);
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
