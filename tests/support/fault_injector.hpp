#pragma once

#include <string>
#include <vector>

#include "support/leader_tracker.hpp"
#include "support/sim_service.hpp"
#include "support/trace_line.hpp"

namespace gingerdrift::testing {

/// Returns the state service limits that a line gives; omitted ones have default values.
kvstore::service_limits limits_of(const trace_line& line);

/// Executes the lines `at SECONDS VERB …` of a scenario: faults of controllers, links, the state
/// service and machines, and user requests at critical moments.
class fault_injector {
 public:
  fault_injector(sim_service& service, const leader_tracker& leaders)
      : service_(service), leaders_(leaders) {}
  /// Injects the fault of a line at the current time. Throws std::invalid_argument if the verb is
  /// unknown.
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

  /// Returns the indexes of the controllers that a word selects: `leader` (the most recent one),
  /// `follower` (the first controller that is not the leader), `all`, or a host name.
  std::vector<std::size_t> controllers_of(const std::string& word) const;
  /// Returns all controllers in the given order: `number`, `backwards`, `leader_first` or
  /// `leader_last`.
  std::vector<std::size_t> upgrade_order(const std::string& name) const;
  /// Cuts the links between a controller and a group of hosts: `state`, `cloud`, `users`, `workers`
  /// or `peers`.
  void cut_controller(std::size_t node, const std::string& group, duration span,
                      sim_net::cut_mode mode);
  /// Cuts the links between all hosts of the line's zone and all other controllers and machines, as
  /// well as the hosts in `outside`.
  void cut_zone_from(const trace_line& line, std::vector<std::string> outside);
  /// Returns the machines that are up, those with tasks first, up to the number that the line
  /// gives; only those of one zone if the line names it.
  std::vector<sim_machine*> machines_of(const trace_line& line) const;
  /// Returns `machines_of(line)` and adds their number to the event count "machines_VERB".
  std::vector<sim_machine*> affected_machines(const trace_line& line);

  sim_service& service_;
  const leader_tracker& leaders_;
};

}  // namespace gingerdrift::testing
