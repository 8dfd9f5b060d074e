#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/callback_guard.hpp"
#include "kvstore/client.hpp"
#include "net/timer.hpp"
#include "net/transport.hpp"
#include "workers/codec.hpp"
#include "workers/delegation_record.hpp"
#include "workers/job_activity.hpp"

namespace gingerdrift::workers {

/// The leader's node, empty where none is known, and whether this controller hears of it.
struct leader_contact {
  node_name node;
  bool reachable = false;
};

/// A controller in a zone that is cut off from the leader keeps the zone's workers alive.
///
/// It starts nothing. It answers with the leader's token only while the store, which belongs to no
/// zone, confirms that token; only after its own record says that it acts; and only for tasks whose
/// jobs it has just read. Tasks of jobs that are cancelled or over are stopped.
class lease_delegate {
 public:
  /// What the delegate asks of the controller.
  struct hooks {
    /// The leader as this controller knows it.
    std::function<leader_contact()> leader;
    /// The zone of a controller.
    std::function<zone_name(const node_name& node)> zone_of;
  };
  /// Whose delegate it is, and what its answers rely on.
  struct settings {
    node_name node;
    zone_name zone;
    /// How old a reading of a job may be when an answer renews a lease; at most what a cancellation
    /// has beyond that lease.
    duration max_job_age{};
  };
  lease_delegate(net::runtime& runtime, kvstore::client& store, const settings& own, hooks events);
  ~lease_delegate() = default;
  lease_delegate(const lease_delegate&) = delete;
  lease_delegate& operator=(const lease_delegate&) = delete;

  /// Begins to check, once a second, whether its record still needs to say that it acts.
  void start();
  /// Whether there is a leader in another zone that this controller doesn't hear.
  bool is_needed() const;
  /// Whether the heartbeat is of a worker in our zone, cut off from the leader with us.
  bool is_delegate_for(const worker_heartbeat& heartbeat) const;
  /// Answers with 200 once everything is confirmed, or with 503 when it can't be.
  void handle(worker_heartbeat heartbeat, net::reply_fn reply);

 private:
  /// A heartbeat that waits for what its answer needs.
  struct pending_answer {
    worker_heartbeat heartbeat;
    net::reply_fn reply;
    time_point deadline;
  };
  bool token_confirmed() const;
  void confirm_token();
  void on_token_read(const kvstore::result& answer);
  void answer_pending();
  std::optional<net::response> answer_to(const pending_answer& pending) const;
  void check_periodically();

  net::runtime& runtime_;
  kvstore::client& store_;
  node_name node_;
  zone_name zone_;
  hooks events_;
  delegation_record record_;
  job_activity jobs_;
  time_point token_confirmed_at_{};  // when the store was asked for the reading that confirmed it
  bool confirmation_in_progress_ = false;
  std::vector<pending_answer> pending_;
  net::timer check_timer_;
  callback_guard guard_;
};

}  // namespace gingerdrift::workers
