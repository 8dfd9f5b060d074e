#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "cloud/machine_lifecycle.hpp"
#include "cloud/machine_list_reconciler.hpp"
#include "cloud/machine_table.hpp"
#include "cloud/machine_type_catalog.hpp"
#include "cloud/options.hpp"
#include "cloud/release_queue.hpp"
#include "cloud/scale_out.hpp"
#include "net/timer.hpp"
#include "net/transport.hpp"

namespace gingerdrift::cloud {

/// Manages the leader's rented machines: rents, lists and returns them within the rate limit of the
/// cloud's API.
///
/// Coordinates the components that do the work (scale-out, release queue, list reconciler and type
/// catalogue), which share one cloud client. Must be used on a single thread.
class machine_inventory {
 public:
  using hooks = inventory_hooks;

  /// `token` is the fencing token of this leadership term. The idempotency keys of rental requests
  /// contain it, so that no key is ever used again.
  machine_inventory(net::runtime& runtime, options options, fencing_token token, hooks callbacks);
  ~machine_inventory() = default;
  machine_inventory(const machine_inventory&) = delete;
  machine_inventory& operator=(const machine_inventory&) = delete;

  /// Starts the periodic calls to the cloud. Must be invoked exactly once.
  void start();
  /// Records a heartbeat from a machine's worker. It proves that the machine is running, unless
  /// the cloud's list has shown it as failed. Heartbeats of removed machines are ignored.
  void heartbeat_received(const machine_name& name, const admission::pool& pool);
  /// Scales out. `missing` is the number of machines to rent in each pool, in addition to those
  /// that are starting.
  void request_machines(const std::map<admission::pool, std::uint32_t>& missing) {
    scale_out_.request(missing);
  }
  /// Scales in: queues the machine for its return to the cloud.
  void release(const machine_name& name, release_reason reason) { releases_.add(name, reason); }
  /// Reports whether the machine is queued for its return and not yet removed from the inventory.
  bool is_releasing(const machine_name& name) const;
  /// Reports whether the machine was removed in this leadership term because it has definitely
  /// terminated. Any message that still arrives from it is outdated.
  bool was_removed(const machine_name& name) const { return machines_.was_removed(name); }
  /// Reports whether the machine was rented in this leadership term.
  bool was_rented_in_term(const machine_name& name) const;
  /// Pools for which the cloud recently had no capacity.
  std::set<admission::pool> refused_pools() const { return scale_out_.refused_pools(); }
  /// Machines that are rented or requested and have sent no heartbeat in this leadership term,
  /// without those that have failed or are queued for their return.
  std::vector<machine> starting_machines() const;
  /// All known rented machines, including those queued for their return.
  const std::map<machine_name, machine>& all() const { return machines_.all(); }
  /// Sets machine types obtained from another source, so that a term can start while the cloud is
  /// unavailable.
  void set_types(std::vector<admission::machine_type> types) { catalog_.set(std::move(types)); }
  /// The machine types that the cloud offers; empty while they are unknown.
  const std::vector<admission::machine_type>& types() const { return catalog_.types(); }

 private:
  void tick();
  void release_failed_starts();
  bool has_failed_to_start(const machine& entry) const;

  net::runtime& runtime_;
  options options_;
  hooks hooks_;
  cloud_client client_;
  machine_table machines_;
  release_queue releases_;
  scale_out scale_out_;
  machine_list_reconciler list_reconciler_;
  machine_type_catalog catalog_;
  net::timer timer_;
};

}  // namespace gingerdrift::cloud
