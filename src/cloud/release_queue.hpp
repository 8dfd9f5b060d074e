#pragma once

#include <vector>

#include "cloud/cloud_client.hpp"
#include "cloud/machine_table.hpp"
#include "cloud/options.hpp"

namespace gingerdrift::cloud {

/// Returns machines to the cloud, in batches, with at most one request in flight.
///
/// A queued machine stays in the machine table, marked as `releasing`, until the cloud has
/// confirmed its return. Only the confirmation proves that the machine has terminated.
class release_queue {
 public:
  /// `hooks` must outlive the queue.
  release_queue(cloud_client& client, machine_table& machines, const inventory_hooks& hooks);

  /// Queues a machine for its return, even if no list has contained it so far. Ignores machines
  /// that are queued or removed already.
  void add(const machine_name& name, release_reason reason);
  /// Sends a batch unless one is in flight or the rate budget is exhausted.
  void send();

 private:
  void handle_response(const std::vector<machine_name>& batch, const net::response& response);

  cloud_client& client_;
  machine_table& machines_;
  const inventory_hooks& hooks_;
  bool in_flight_ = false;
};

}  // namespace gingerdrift::cloud
