#pragma once

#include <functional>

#include "base/metrics.hpp"
#include "base/recent_count.hpp"
#include "leader/leader_term.hpp"
#include "leadership/leader_elector.hpp"
#include "net/time_sliced_queue.hpp"
#include "workers/lease_delegate.hpp"

namespace gingerdrift::daemon {

/// Routes workers' heartbeats to the component that may answer them: the leader term of this
/// controller, or the lease delegate while this zone is cut off from the leader. Any other
/// heartbeat is answered with a redirect to the leader.
///
/// Heartbeats are processed in time slices. The heartbeats of thousands of workers may arrive at
/// the same time, and nothing else on the event loop may wait until all of them have been
/// processed: the leader would lose its lease, and its successor would receive the same heartbeats.
///
/// Not thread-safe; runs on the thread of the runtime.
class heartbeat_router {
 public:
  /// Queries to the controller that owns the router.
  struct callbacks {
    /// Returns the leader term of this controller, or nullptr if it is not the leader.
    std::function<leader::leader_term*()> term;
    /// Reports whether this controller can reach the key-value store.
    std::function<bool()> store_reachable;
  };
  heartbeat_router(net::runtime& runtime, const config::platform_settings& platform_settings,
                   const leadership::leader_elector& elector, workers::lease_delegate& delegate,
                   metrics& metrics, callbacks owner_callbacks);

  /// Answers a worker's heartbeat. `reply` may be called before this function returns, or later.
  void handle(const net::request& message, const net::reply_fn& reply);
  /// Returns the number of heartbeats that this node redirected during the last one to two
  /// heartbeat periods. A positive number means that workers reach this node, but not the leader.
  std::uint64_t recent_redirects() { return recent_redirects_.count(runtime_.now()); }

 private:
  void process(const net::request& message, time_point received, const net::reply_fn& reply);
  bool try_dispatch_to_delegate(const net::request& message, const net::reply_fn& reply);
  void redirect_to_leader(const net::reply_fn& reply);
  void dispatch_to_term(leader::leader_term& term, const net::request& message,
                        const net::reply_fn& reply);

  net::runtime& runtime_;
  const node_name node_;
  const leadership::leader_elector& elector_;
  workers::lease_delegate& delegate_;
  metrics& metrics_;
  callbacks callbacks_;
  recent_count recent_redirects_;
  net::time_sliced_queue queue_;
};

}  // namespace gingerdrift::daemon
