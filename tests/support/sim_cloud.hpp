#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "support/sim_fleet.hpp"

namespace gingerdrift::testing {

/// Simulates the HTTP interface of the cloud: machine types, rentals, releases, and machine lists
/// that are out of date.
class sim_cloud {
 public:
  /// Starts to serve requests at the address cloud:1.
  sim_cloud(site_context& context, sim_fleet& fleet);
  void handle(const net::request& message, const net::reply_fn& reply);
  /// Answers every request with 503 during the given time.
  void start_outage(duration span) { down_until_ = context_.net.now() + span; }
  /// Returns the number of requests received, including refused ones.
  std::size_t calls() const { return calls_; }

 private:
  /// The list of machines at the time it was recorded.
  struct listing {
    time_point taken;
    json machines;
  };
  void list_machine_types(const net::reply_fn& reply) const;
  void release_machines(const json& body, const net::reply_fn& reply);
  void rent_machines(const json& body, const net::reply_fn& reply);
  std::size_t count_machines(const std::string& zone, bool spot) const;
  void list_machines(const net::reply_fn& reply);
  json current_listing() const;

  site_context& context_;
  sim_fleet& fleet_;
  std::size_t calls_ = 0;
  time_point down_until_{};
  std::map<std::string, std::vector<std::string>> rentals_;  // machine names by request id
  std::deque<listing> listings_;
};

}  // namespace gingerdrift::testing
