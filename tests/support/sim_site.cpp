#include "support/sim_site.hpp"

namespace gingerdrift::testing {

sim_site::sim_site(sim_net& network, site_parameters initial_parameters,
                   std::vector<std::string> front_addresses)
    : site_context(network, initial_parameters, std::move(front_addresses)),
      fleet(*this),
      cloud(*this, fleet),
      users(*this, fleet),
      probes(*this, users),
      history(*this, fleet, users),
      machine_checks(*this, fleet, users, history),
      answer_checks(*this, fleet, users, history),
      progress_checks(*this, fleet, users, history) {
  fleet.set_observer(machine_checks);
  fleet.on_job_done = [this](const std::string& job) { users.job_done(job); };
  users.set_observer(answer_checks);
  users.on_milestone = [this](const std::string& job) { probes.query_all_controllers(job); };
}

void sim_site::check_outcome() {
  answer_checks.check_cancelled_jobs();
  progress_checks.check_served();
}

}  // namespace gingerdrift::testing
