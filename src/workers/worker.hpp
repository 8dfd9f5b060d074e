#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "admission/types.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "workers/codec.hpp"

namespace gingerdrift::workers {

/// Position of a heartbeat in the sequence of its worker's heartbeats. Sequence numbers restart
/// with each incarnation.
struct heartbeat_position {
  worker_incarnation incarnation;
  std::uint64_t sequence = 0;
  friend auto operator<=>(const heartbeat_position&, const heartbeat_position&) = default;
};

/// Returns the position of a heartbeat in the sequence of its worker's heartbeats.
inline heartbeat_position position_of(const worker_heartbeat& heartbeat) {
  return {heartbeat.incarnation, heartbeat.sequence};
}

/// An image in the image cache of a machine.
struct cached_image {
  std::string name;
  double size_gb = 0;
};

/// What the leader knows of a machine and its worker, from the worker's heartbeats and from stored
/// attempts.
struct worker {
  machine_name name;
  std::string address;
  admission::pool pool;
  bool reported_in_term = false;       // whether a heartbeat was accepted in this term
  heartbeat_position latest_position;  // of the newest accepted heartbeat
  fencing_token token;                 // the newest that the worker has received
  time_point last_heartbeat{};
  time_point last_lease_renewal{};             // when the leader last answered a heartbeat
  std::optional<duration> termination_notice;  // time until the cloud takes the machine away
  std::set<task_id> attempts;                  // placed here by a leader and not proven gone
  /// Tasks in the newest heartbeat that have exited or that the leader has not placed here.
  std::set<task_id> unknown_tasks;
  /// Whether one of the unknown tasks has not exited.
  bool runs_unknown_tasks = false;
  /// Exits that were handled but not yet acknowledged. The value is the mutation count of the job's
  /// record unit that has to be stored before the exit may be acknowledged.
  std::map<attempt_id, std::uint64_t> handled_exits;
  std::deque<cached_image> images;  // most recently used first
  std::set<job_id> failed_jobs;     // jobs with failures here since the last success here
  /// Set while the machine is quarantined because several jobs failed here and nowhere else.
  std::optional<time_point> quarantined_since;
  bool new_in_term = false;  // rented in this term, and its worker has no token yet
  /// Set while the leader's answers may not reach the worker.
  std::optional<time_point> unreachable_since;
  time_point next_probe{};
  std::uint32_t unanswered_probes = 0;
  time_point idle_since{};
  /// Cached view for scheduling cycles; reset whenever the data that it shows changes.
  std::shared_ptr<const admission::machine_view> view;

  /// Reports whether the heartbeat is newer than every heartbeat accepted in this term.
  bool is_outdated_by(const worker_heartbeat& heartbeat) const {
    return !reported_in_term || position_of(heartbeat) > latest_position;
  }
  /// Reports whether no task may be started here, because the machine is about to be taken away,
  /// quarantined or unreachable.
  bool is_unschedulable() const {
    return termination_notice || quarantined_since || unreachable_since;
  }
  /// Records that the machine fetches or uses an image, which makes it the most recently used one,
  /// and evicts the least recently used images that exceed the cache size.
  void use_image(const std::string& image, double image_gb, double cache_gb);
};

}  // namespace gingerdrift::workers
