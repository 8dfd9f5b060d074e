#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "support/sim_fleet.hpp"

namespace gingerdrift::testing {

/// Stand-in for the cloud's interface: machine types, rentals, releases, and
/// lists that lag.
class sim_cloud {
 public:
  /// Serves at cloud:1.
  sim_cloud(site_context& context, sim_fleet& fleet);
  void handle(const net::request& message, const net::reply_fn& reply);
  /// Everybody gets 503 for that long.
  void start_outage(duration span) { down_until_ = context_.net.now() + span; }
  /// Calls of the controllers, refused ones included.
  std::size_t calls() const { return calls_; }

 private:
  /// The machines as they were at some moment.
  struct listing {
    time_point taken;
    json machines;
  };
  void list_machine_types(const net::reply_fn& reply) const;
  void release_machines(const json& body, const net::reply_fn& reply);
  void rent_machines(const json& body, const net::reply_fn& reply);
  std::size_t machines_of(const std::string& zone, bool spot) const;
  void list_machines(const net::reply_fn& reply);
  json present_listing() const;

  site_context& context_;
  sim_fleet& fleet_;
  std::size_t calls_ = 0;
  time_point down_until_{};
  std::map<std::string, std::vector<std::string>> rentals_;  // names by request id
  std::deque<listing> listings_;
};

}  // namespace gingerdrift::testing
