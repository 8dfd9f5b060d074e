#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/callback_guard.hpp"
#include "kvstore/client.hpp"
#include "workers/reconciler.hpp"

namespace gingerdrift::leader {

/// Reads the records of the lease delegates and has the reconciler expire worker leases
/// accordingly.
///
/// If a worker sends no heartbeats to this leader, a delegate in its zone may still renew its
/// lease. Each delegate marks its record in the store as active before it renews any lease. A
/// delegate that became active and inactive again between two reads is detected by the changed
/// version of its record. A lease may therefore be treated as expired only as of a read of these
/// records, and only if no delegate has been active for the duration of a lease before that read.
class delegate_monitor {
 public:
  delegate_monitor(kvstore::client& store, workers::reconciler& workers);

  /// Starts to read the delegates' records, unless a read is already in flight. Once the records
  /// have arrived, expired worker leases are detected.
  void poll();
  /// Returns the zones with an active delegate, as of the last read.
  const std::set<zone_name>& active_zones() const { return active_zones_; }

 private:
  void handle_records(const kvstore::result& records);

  kvstore::client& store_;
  workers::reconciler& workers_;
  std::map<std::string, store_revision> record_versions_;  // by key, as of the last read
  std::set<zone_name> active_zones_;
  std::optional<time_point> inactive_since_;  // no delegate has been active since then
  bool list_in_flight_ = false;
  callback_guard guard_;
};

}  // namespace gingerdrift::leader
