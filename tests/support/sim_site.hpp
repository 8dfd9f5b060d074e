#pragma once

#include <string>
#include <vector>

#include "support/answer_rules.hpp"
#include "support/job_history.hpp"
#include "support/machine_rules.hpp"
#include "support/progress_rules.hpp"
#include "support/sim_cloud.hpp"
#include "support/sim_fleet.hpp"
#include "support/sim_users.hpp"
#include "support/site_context.hpp"
#include "support/state_service.hpp"
#include "support/user_probes.hpp"

namespace gingerdrift::testing {

/// The environment of the controllers except the state service: cloud, machines and users, with the
/// checks of the behaviour that machines and users observe.
class sim_site : public site_context {
 public:
  /// `front_addresses` are the addresses at which controllers serve users and workers.
  sim_site(sim_net& network, site_parameters initial_parameters,
           std::vector<std::string> front_addresses);
  sim_site(const sim_site&) = delete;
  sim_site& operator=(const sim_site&) = delete;

  void submit(const sim_job& job) { users.submit(job); }
  /// Runs the checks that apply at the end of a scenario.
  void check_outcome();

  sim_fleet fleet;
  sim_cloud cloud;
  sim_users users;
  user_probes probes;
  job_history history;
  machine_rules machine_checks;
  answer_rules answer_checks;
  progress_rules progress_checks;
};

}  // namespace gingerdrift::testing
