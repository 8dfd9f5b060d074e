#pragma once

#include <memory>

#include "base/recent_count.hpp"
#include "daemon/term.hpp"
#include "front/user_interface.hpp"
#include "leadership/elector.hpp"
#include "mesh/mesh.hpp"
#include "upgrade/version_registry.hpp"
#include "workers/deputy.hpp"

namespace gingerdrift::daemon {

/// One controller: the slices, wired together. It runs the same on libuv and in virtual time.
class controller : private front::node_services {
 public:
  controller(net::runtime& runtime, planner& plans, platform_settings platform,
             operator_settings rules, std::uint64_t seed);
  ~controller() override;
  controller(const controller&) = delete;
  controller& operator=(const controller&) = delete;

  void start();
  /// Users, workers and health checks.
  void handle_front(const net::request& message, const net::reply_fn& reply);
  /// The other controllers.
  void handle_mesh(const net::request& message, const net::reply_fn& reply);
  bool leads() const override { return elector_ && elector_->valid() && term_ && term_->ready(); }

 private:
  // What the users' interface needs.
  std::optional<store::job_state> state_of(const std::string& job) override;
  void cancel(const std::string& job, cancelled_fn done) override;
  void job_submitted(const std::string& job) override;
  void forward_to_leader(const net::request& message, net::reply_fn done) override;
  void forward_to_peer_with_store(const net::request& message, net::reply_fn done) override;
  bool healthy() const override;
  const std::vector<admission::machine_type>& machine_types() const override { return types_; }
  std::string status() override;
  bool dependencies_supported() const override { return versions_->all_support_dependencies(); }

  void make_mesh();
  void make_elector(std::uint64_t seed);
  void make_deputy();
  void make_version_registry();
  void begin_term(std::uint64_t token, const store::condition& leader);
  void report(const net::request& message, const net::reply_fn& reply);
  void fetch_types();
  void read_types();
  void watch_over();
  void account();
  bool store_works() const override;

  net::runtime& runtime_;
  planner& planner_;
  const platform_settings platform_;
  const operator_settings rules_;
  metrics metrics_;
  store::client store_;
  std::unique_ptr<front::user_interface> front_;
  std::unique_ptr<mesh::link> mesh_;
  std::unique_ptr<leadership::elector> elector_;
  std::unique_ptr<workers::deputy> deputy_;
  std::unique_ptr<upgrade::version_registry> versions_;
  std::unique_ptr<term> term_;
  std::vector<admission::machine_type> types_;
  time_point watched_{};             // when watch_over last ran
  recent_count redirected_reports_;  // reports of workers that this node redirected
  net::timer_id types_timer_ = 0;
  net::timer_id watch_timer_ = 0;
  net::timer_id account_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::daemon
