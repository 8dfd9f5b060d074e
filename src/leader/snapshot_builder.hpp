#pragma once

#include <map>
#include <memory>
#include <string>

#include "cloud/machine_inventory.hpp"
#include "config/settings.hpp"
#include "dependencies/tracker.hpp"
#include "job_store/job_table.hpp"
#include "leader/term_context.hpp"
#include "leader/zone_health.hpp"
#include "workers/reconciler.hpp"

namespace gingerdrift::leader {

/// Builds the input of a scheduling cycle: a snapshot of the jobs, the machines that report, and
/// the machines that are starting.
///
/// Each job and each machine caches its view, which is rebuilt only after something that it shows
/// has changed. The snapshot of a large fleet is therefore mostly a list of pointers.
class snapshot_builder {
 public:
  snapshot_builder(const term_context& context, const zone_health& zones);

  /// Returns a snapshot of the current state. The snapshot shares ownership of its views, so they
  /// remain valid and unchanged when the state changes later.
  admission::snapshot build();

 private:
  using types_by_name = std::map<std::string, const admission::machine_type*>;
  /// Properties of all attempts of a job taken together.
  struct attempt_summary {
    /// Whether the pool of each attempt's machine is known.
    bool all_pools_known = true;
    /// Whether each attempt is listed by its worker and none is running or stopping. Members of a
    /// gang can be replaced in this state.
    bool all_still_starting = true;
  };
  std::shared_ptr<const admission::job_view> view_of(job_store::job& job) const;
  void copy_spec(const job_store::job& job, admission::job_view& view) const;
  attempt_summary add_attempts(const job_store::job& job, admission::job_view& view) const;
  void add_waiting_tasks(const job_store::job& job, admission::job_view& view) const;
  std::size_t max_waiting_tasks(const job_store::job& job) const;
  admission::pool pool_of(const machine_name& name) const;
  std::shared_ptr<const admission::machine_view> view_of(workers::worker& worker,
                                                         const admission::machine_type& type) const;
  void add_jobs(admission::snapshot& snapshot);
  void add_reporting_machines(const types_by_name& types, admission::snapshot& snapshot);
  void add_starting_machines(const types_by_name& types, admission::snapshot& snapshot);
  void add_refused_pools(admission::snapshot& snapshot) const;

  net::runtime& runtime_;
  const std::vector<config::team>& teams_;
  job_store::job_table& jobs_;
  const dependencies::tracker& dependencies_;
  workers::reconciler& workers_;
  const cloud::machine_inventory& machines_;
  const zone_health& zones_;
  std::map<std::string, std::size_t> team_index_;
};

}  // namespace gingerdrift::leader
