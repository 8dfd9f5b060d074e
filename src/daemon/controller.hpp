#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "api/http_api.hpp"
#include "daemon/heartbeat_router.hpp"
#include "daemon/leader_watchdog.hpp"
#include "daemon/machine_type_cache.hpp"
#include "daemon/slow_turn_logger.hpp"
#include "daemon/status_report.hpp"
#include "leader/leader_term.hpp"
#include "leadership/leader_elector.hpp"
#include "peers/peer_network.hpp"
#include "versioning/version_registry.hpp"
#include "workers/lease_delegate.hpp"

namespace gingerdrift::daemon {

/// One controller process: creates the components and connects them.
///
/// Runs unchanged on libuv and, in tests, in virtual time. Everything runs on the thread of the
/// runtime, except that the executor may compute scheduling cycles on a thread of its own.
class controller : private api::node_services {
 public:
  /// `seed` initializes the leader elector's random generator. `runtime` and `executor` have to
  /// outlive the controller.
  controller(net::runtime& runtime, leader::scheduling_executor& executor,
             config::platform_settings platform_settings,
             config::operator_settings operator_settings, std::uint64_t seed);
  ~controller() override;
  controller(const controller&) = delete;
  controller& operator=(const controller&) = delete;

  /// Starts all periodic activities. Must be called only once.
  void start();
  /// Handles a request from the public address: from users, workers and health checks.
  void handle_public_request(const net::request& message, const net::reply_fn& reply);
  /// Handles a request from another controller.
  void handle_peer_request(const net::request& message, const net::reply_fn& reply);
  /// Includes the connections of a server in the status report. The server has to outlive the
  /// controller's last status report.
  void report_server(const std::string& name, const net::http_server& server);
  /// Records that a turn of the event loop has ended, in which it was busy for this time.
  void handle_turn_finished(duration busy) { slow_turn_logger_.turn_finished(busy); }
  /// Reports whether this controller holds the leader's lease and has read all records from the
  /// store.
  bool is_leader() const override { return elector_.lease_valid() && term_ && term_->ready(); }

 private:
  // Implementation of api::node_services.
  std::optional<job_store::job_state> state_of(const job_id& job) override;
  void cancel(const job_id& job, cancelled_fn done) override;
  void notify_leader_of_job(const job_id& job) override;
  void forward_to_leader(const net::request& message, net::reply_fn done) override;
  void forward_to_peer_with_store(const net::request& message, net::reply_fn done) override;
  bool healthy() const override;
  bool store_reachable() const override;
  const std::vector<admission::machine_type>& machine_types() const override {
    return machine_types_.types();
  }
  std::string status() override;
  bool dependencies_supported() const override { return versions_.all_support_dependencies(); }

  // Options and callbacks of the components.
  api::options api_options() const;
  std::map<node_name, std::string> peer_addresses() const;
  std::vector<node_name> all_nodes() const;
  leadership::options elector_options() const;
  peers::peer_network::hooks peer_callbacks();
  leadership::leader_elector::callbacks elector_callbacks();
  leader::leader_term::callbacks term_callbacks();
  workers::lease_delegate::hooks delegate_callbacks();
  heartbeat_router::callbacks router_callbacks();
  status_logger::callbacks status_callbacks();

  void begin_term(fencing_token token, const kvstore::condition& leader);
  void end_term();
  void fetch_announced_job(const job_id& job);
  bool is_reachable(const node_name& node) const;
  peers::leader_identity known_leader() const;
  zone_name zone_of(const node_name& node) const;

  net::runtime& runtime_;
  leader::scheduling_executor& executor_;
  const config::platform_settings platform_settings_;
  const config::operator_settings operator_settings_;
  metrics metrics_;
  kvstore::client store_;
  api::http_api api_;
  peers::peer_network peers_;
  leadership::leader_elector elector_;
  workers::lease_delegate delegate_;
  versioning::version_registry versions_;
  machine_type_cache machine_types_;
  heartbeat_router heartbeat_router_;
  leader_watchdog watchdog_;
  status_logger status_logger_;
  query_failure_logger query_failure_logger_;
  slow_turn_logger slow_turn_logger_;
  std::map<std::string, const net::http_server*> servers_;  // by name in the status report
  std::unique_ptr<leader::leader_term> term_;               // null unless this controller is leader
};

}  // namespace gingerdrift::daemon
