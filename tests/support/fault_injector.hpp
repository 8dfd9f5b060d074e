#pragma once

#include <string>
#include <vector>

#include "support/leader_tracker.hpp"
#include "support/sim_service.hpp"
#include "support/trace_line.hpp"

namespace gingerdrift::testing {

/// The limits that a line states; what it leaves out has a usual value.
kvstore::service_limits limits_of(const trace_line& line);

/// Brings about what the lines `at SECONDS VERB …` of a scenario demand: faults
/// of controllers, links, state service and machines, and what users do in the
/// worst moment.
class fault_injector {
 public:
  fault_injector(sim_service& service, const leader_tracker& leaders)
      : service_(service), leaders_(leaders) {}
  /// Throws std::invalid_argument if the verb is unknown.
  void inject(const trace_line& line);

 private:
  using handler = void (fault_injector::*)(const trace_line&);

  // Controllers and links.
  void upgrade(const trace_line& line);
  void crash(const trace_line& line);
  void freeze(const trace_line& line);
  void cut_controllers(const trace_line& line);
  void cut_zone(const trace_line& line);
  void partition_zone(const trace_line& line);
  // State service.
  void change_limits(const trace_line& line);
  void start_state_outage(const trace_line& line);
  void slow_state_service(const trace_line& line);
  void lose_answers(const trace_line& line);
  void delay_transactions(const trace_line& line);
  // Machines.
  void copy_heartbeats_late(const trace_line& line);
  void drop_commands(const trace_line& line);
  void mute_machines(const trace_line& line);
  void hang_machines(const trace_line& line);
  void vanish_machines(const trace_line& line);
  // Users.
  void query_all_controllers(const trace_line& line);
  void cancel_running(const trace_line& line);
  void cancel_job(const trace_line& line);
  void cancel_as_jobs_end(const trace_line& line);
  void send_unexpected_requests(const trace_line& line);

  /// The controllers that a word stands for: `leader` (the last one),
  /// `follower`, `all`, or a name.
  std::vector<std::size_t> controllers_of(const std::string& word) const;
  std::vector<std::size_t> upgrade_order(const std::string& name) const;
  /// Cuts a controller from a group of others: `state`, `cloud`, `users`,
  /// `workers` or `peers`.
  void cut_controller(std::size_t node, const std::string& group, duration span,
                      sim_net::cut_mode mode);
  void cut_zone_from(const trace_line& line, std::vector<std::string> outside);
  /// The machines that are up, those with tasks first; of one zone if the line
  /// names it.
  std::vector<sim_machine*> machines_of(const trace_line& line) const;
  /// The same, counted as the fact "machines_VERB".
  std::vector<sim_machine*> affected_machines(const trace_line& line);

  sim_service& service_;
  const leader_tracker& leaders_;
};

}  // namespace gingerdrift::testing
