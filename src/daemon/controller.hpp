#pragma once

#include <memory>

#include "daemon/term.hpp"
#include "leadership/elector.hpp"
#include "mesh/mesh.hpp"
#include "workers/deputy.hpp"

namespace gingerdrift::daemon {

/// One controller: the slices, wired together. It runs the same on libuv and in virtual time.
class controller {
 public:
  controller(net::runtime& runtime, planner& plans, platform_settings platform,
             operator_settings rules, std::uint64_t seed);
  ~controller();
  controller(const controller&) = delete;
  controller& operator=(const controller&) = delete;

  void start();
  /// Users, workers and health checks.
  void handle_front(const net::request& message, const net::reply_fn& reply);
  /// The other controllers.
  void handle_mesh(const net::request& message, const net::reply_fn& reply);
  bool leads() const { return elector_ && elector_->valid() && term_ && term_->ready(); }

 private:
  void report(const net::request& message, const net::reply_fn& reply);
  void forward(const net::request& message, net::reply_fn done);
  void pass_on(const net::request& message, net::reply_fn done);
  void fetch_types();
  void read_types();
  void watch_over();
  void account();
  bool store_works() const;
  std::string status();

  net::runtime& runtime_;
  planner& plans_;
  const platform_settings platform_;
  const operator_settings rules_;
  metrics numbers_;
  store::client store_;
  std::unique_ptr<front::front> front_;
  std::unique_ptr<mesh::link> mesh_;
  std::unique_ptr<leadership::elector> elector_;
  std::unique_ptr<workers::deputy> deputy_;
  std::unique_ptr<term> term_;
  std::vector<admission::machine_type> types_;
  time_point watched_{};            // when watch_over last ran
  std::vector<time_point> knocks_;  // reports of workers this node redirected lately
  net::timer_id types_timer_ = 0;
  net::timer_id watch_timer_ = 0;
  net::timer_id account_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::daemon
