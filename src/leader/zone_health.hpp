#pragma once

#include <map>
#include <set>

#include "cloud/machine_inventory.hpp"
#include "config/settings.hpp"
#include "workers/reconciler.hpp"

namespace gingerdrift::leader {

/// Assesses each zone by how many of its machines are unresponsive, overdue or unreachable at the
/// same time.
///
/// Machines usually fail independently of each other. If a large part of a zone becomes
/// unresponsive at once, the zone is partitioned from the leader or its workers can't find the
/// leader. These machines are expected to return with their cached images, so they are kept longer
/// than other unresponsive machines, and no machines are rented in such a zone.
///
/// A condition affects a large part of a zone if it affects at least half of its machines, and at
/// least three. "Mostly" in the names of this class has this meaning.
class zone_health {
 public:
  /// The interval at which update() must be called. Its results remain valid for two intervals.
  static constexpr duration update_interval = seconds(1);
  /// How much longer the unresponsive machines of a partitioned zone are kept. When the partition
  /// ends, these machines are usable without another boot or image download.
  static constexpr duration partition_grace_period = seconds(120);

  zone_health(net::runtime& runtime, const config::platform_settings& platform,
              const config::operator_settings& operator_settings, workers::reconciler& workers,
              const cloud::machine_inventory& machines);

  /// Reassesses all zones. A zone with an active lease delegate counts as partitioned, because its
  /// workers exchange heartbeats with the delegate instead of this leader.
  void update(const std::set<zone_name>& delegate_zones);
  /// Reports whether a large part of the zone was recently unresponsive, that is, without a
  /// heartbeat for more than half of heartbeat_timeout(), or whether the zone recently had an
  /// active delegate.
  bool is_partitioned(const zone_name& zone) const;
  /// Reports whether the heartbeats of a large part of the zone were recently overdue at once.
  ///
  /// The cause may then be the network or this controller rather than the machines. Without this
  /// check, a leader that its workers could not reach once returned 73 spot machines with 525
  /// tasks: their last heartbeats had arrived before those of the other machines, so they timed out
  /// in the second before half of the zone counted as unresponsive and the leader stepped down.
  bool is_mostly_overdue(const zone_name& zone) const;
  /// Reports whether a large part of the zone's machines does not receive this leader's answers.
  /// The cause may then be this leader as well as the machines.
  bool is_mostly_unreachable(const zone_name& zone) const {
    return mostly_unreachable_zones_.count(zone) != 0;
  }
  /// Returns how much longer than usual the zone's unresponsive machines are kept, or zero.
  ///
  /// After a partition has ended, the additional time applies for the duration of one more worker
  /// lease, because the workers reconnect to the leader one after the other. Without this delay,
  /// the second half of a zone, 235 machines with 900 tasks, was once returned at the moment when
  /// the first half had reconnected.
  duration partition_grace(const zone_name& zone) const;
  /// Returns after how long without a heartbeat an on-demand machine is considered lost.
  duration heartbeat_timeout() const;

 private:
  /// The number of a zone's machines that are up, and how many of these show each problem.
  struct machine_count {
    std::size_t total = 0;
    std::size_t unresponsive = 0;  // no heartbeat for more than half of heartbeat_timeout()
    std::size_t overdue = 0;       // no heartbeat for 1.5 heartbeat intervals
    std::size_t unreachable = 0;   // do not receive the answers to their heartbeats
  };
  std::map<zone_name, machine_count> count_machines() const;

  net::runtime& runtime_;
  const config::platform_settings& platform_;
  const config::operator_settings& operator_settings_;
  workers::reconciler& workers_;
  const cloud::machine_inventory& machines_;
  const time_point term_start_;
  std::set<zone_name> mostly_unreachable_zones_;
  std::map<zone_name, time_point> last_partitioned_;  // time of the last update() that found it so
  std::map<zone_name, time_point>
      last_mostly_overdue_;  // time of the last update() that found it so
};

}  // namespace gingerdrift::leader
