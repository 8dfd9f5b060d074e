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

/// The place of a heartbeat among all of its worker. A new incarnation counts from the start.
struct heartbeat_position {
  worker_incarnation incarnation;
  std::uint64_t sequence = 0;
  friend auto operator<=>(const heartbeat_position&, const heartbeat_position&) = default;
};

/// Where a heartbeat stands among all of its worker.
inline heartbeat_position position_of(const worker_heartbeat& heartbeat) {
  return {heartbeat.incarnation, heartbeat.sequence};
}

/// An image in a machine's cache.
struct cached_image {
  std::string name;
  double size_gb = 0;
};

/// A machine as its worker's heartbeats show it.
struct worker {
  machine_name name;
  std::string address;
  admission::pool pool;
  bool reported_in_term = false;       // a heartbeat was accepted in this term
  heartbeat_position latest_position;  // of the accepted heartbeats
  fencing_token token;                 // the newest that the worker has heard
  time_point last_heartbeat{};
  time_point last_lease_renewal{};  // when its lease was last renewed, at the latest
  std::optional<duration> termination_notice;
  std::set<task_id> attempts;       // ours, not proven gone
  std::set<task_id> unknown_tasks;  // listed, but not ours
  bool runs_unknown_tasks = false;
  /// Exits dealt with, and the change of the record that has to be stored before the worker may
  /// forget them.
  std::map<attempt_id, std::uint64_t> handled_exits;
  std::deque<cached_image> images;  // most recently used first
  std::set<job_id> failed_jobs;     // ended with an error here, none done since
  /// Set while it is quarantined: several jobs failed here and nowhere else.
  std::optional<time_point> quarantined_since;
  bool new_in_term = false;  // rented in this term, and has heard nobody yet
  /// Set while answers may not reach it.
  std::optional<time_point> unreachable_since;
  time_point next_probe{};
  std::uint32_t unanswered_probes = 0;
  time_point idle_since{};
  /// What a scheduling cycle sees of it; empty once anything it shows has changed.
  std::shared_ptr<const admission::machine_view> view;

  /// Whether the heartbeat is newer than all that were accepted in this term.
  bool is_outdated_by(const worker_heartbeat& heartbeat) const {
    return !reported_in_term || position_of(heartbeat) > latest_position;
  }
  /// It is to go, quarantined or unreachable: nothing new is started there.
  bool is_unschedulable() const {
    return termination_notice || quarantined_since || unreachable_since;
  }
  /// An image is fetched there: it is the last that a cache of that size evicts.
  void use_image(const std::string& image, double image_gb, double cache_gb);
};

}  // namespace gingerdrift::workers
