#pragma once

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.hpp"
#include "net/timer.hpp"
#include "net/uv_runtime.hpp"
#include "soak/controller_process.hpp"
#include "soak/loopback_addresses.hpp"
#include "support/sim_site.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

/// Real controller processes together with the simulated state service, cloud, machines and users.
///
/// The virtual time of the simulated parts follows the real time. Each message between a controller
/// and anything else crosses a real connection and the simulated network, so that the faults of
/// both can be injected; messages between controllers are passed on in the same way.
class loopback_site {
 public:
  /// Starts `controllers` processes of `program`, with settings and logs in `directory`.
  loopback_site(std::uint64_t seed, std::size_t controllers, const std::string& program,
                std::filesystem::path directory);
  loopback_site(const loopback_site&) = delete;
  loopback_site& operator=(const loopback_site&) = delete;

  /// Runs everything for this long.
  void run_for(duration span);
  /// Kills a controller and starts it again after the given time.
  void crash_for(std::size_t node, duration span);
  /// Suspends a controller for the given time.
  void pause_for(std::size_t node, duration span);
  std::size_t controllers() const { return processes_.size(); }
  /// Reports whether any controller has ended although it was not killed.
  bool any_controller_ended();

  net::uv_runtime runtime;
  sim_net net;
  state_service state;
  sim_site site;

 private:
  void advance_virtual_time();
  void write_settings(std::size_t node);
  /// Serves a controller at `real` and passes its requests on to `simulated`.
  void serve_controller(std::size_t node, const std::string& real, const std::string& simulated);
  /// Passes requests to a simulated address on to a controller's real one.
  void serve_simulated(const std::string& host, const std::string& simulated,
                       const std::string& real);
  std::string machine_address(const std::string& machine);
  void listen(const std::string& address, const net::handler_fn& handler);

  loopback_addresses addresses_;
  std::filesystem::path directory_;
  std::vector<std::unique_ptr<net::http_server>> servers_;
  std::map<std::string, std::string> machine_addresses_;
  std::vector<std::unique_ptr<controller_process>> processes_;
  time_point advanced_until_;
  net::timer clock_timer_;
};

}  // namespace gingerdrift::testing
