#pragma once

#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

#include "admission/types.hpp"
#include "base/ids.hpp"

namespace gingerdrift::dependencies {

/// The progress of a job that others depend on, as far as the store has confirmed it.
enum class job_progress : std::uint8_t { unknown, unfinished, done, cancelled };

/// The dependency graph of unfinished jobs.
///
/// Does no I/O: it is fed jobs and changes of their progress, and returns which jobs became ready
/// or have to be cancelled. Edges are indexed in both directions, so that the end of a job costs
/// time in proportion to its direct dependents and needs no scan of all jobs. The graph contains
/// only waiting jobs and the jobs that they wait for.
class graph {
 public:
  /// The consequences of an event.
  struct event_effects {
    std::vector<job_id> ready;             // jobs whose last dependency is done
    std::vector<job_id> cancelled;         // direct and indirect dependents of a cancelled job
    std::vector<job_id> priority_changed;  // jobs whose inherited priority has changed
    std::vector<job_id> newly_unknown;     // new dependencies whose progress is unknown
  };

  /// Adds a job that waits for others.
  event_effects add(const job_id& job, admission::priority own_priority,
                    const std::vector<job_id>& dependencies);
  /// Records a job's progress, which has become known or has changed. Ignored for jobs that are not
  /// part of the graph.
  event_effects set_progress(const job_id& job, job_progress progress);
  /// Removes a waiting job that ended for a reason other than its dependencies. Its dependents
  /// remain; its own end reaches them through `set_progress`.
  event_effects remove(const job_id& job);

  /// Reports whether the job waits for others.
  bool is_waiting(const job_id& job) const;
  /// Reports whether any job waits for this one.
  bool has_dependents(const job_id& job) const;
  /// Returns the highest priority among the job's direct and indirect dependents; `low` if it has
  /// none.
  admission::priority inherited_priority(const job_id& job) const;
  /// Reports whether the progress of all direct and indirect dependencies of the job is known and
  /// `is_excluded` returns false for each of them.
  bool all_ancestors_known(const job_id& job,
                           const std::function<bool(const job_id&)>& is_excluded) const;
  /// Returns the jobs that others wait for and whose progress is unknown.
  std::vector<job_id> unknown_jobs() const;
  /// Reports whether the progress of every job that others wait for is known.
  bool all_jobs_known() const { return unknown_jobs_.empty(); }
  /// Returns the number of jobs that wait for others.
  std::size_t waiting_job_count() const { return waiting_job_count_; }

 private:
  /// A job that waits, or that others wait for.
  struct job_node {
    job_progress progress = job_progress::unknown;
    bool is_waiting = false;
    admission::priority own_priority = admission::priority::low;  // set only for waiting jobs
    admission::priority inherited_priority = admission::priority::low;
    std::set<job_id> dependencies;  // only those that are not done yet
    std::set<job_id> dependents;
  };
  using job_set = std::set<job_id>;
  void start_waiting(const job_id& job, admission::priority own_priority);
  job_progress add_edge(const job_id& job, const job_id& dependency, event_effects& effects);
  /// Removes the edges from the job to its dependencies, and adds these to `former_dependencies`.
  void stop_waiting(const job_id& job, job_set& former_dependencies);
  void update_former_dependencies(const job_set& former_dependencies, event_effects& effects);
  void release_dependents(const job_id& job, event_effects& effects);
  void cancel_descendants(const job_id& job, event_effects& effects);
  void update_inherited_priority(const job_id& job, event_effects& effects);
  admission::priority priority_of_dependents(const job_node& node) const;
  void drop_if_unused(const job_id& job);

  std::unordered_map<job_id, job_node> nodes_;
  std::set<job_id> unknown_jobs_;
  std::size_t waiting_job_count_ = 0;
};

}  // namespace gingerdrift::dependencies
