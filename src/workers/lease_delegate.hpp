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

/// The leader's node, empty if none is known, and whether this controller has contact with it.
struct leader_contact {
  node_name node;
  bool reachable = false;
};

/// Renews worker leases on behalf of the leader while this controller's zone is cut off from it.
///
/// The delegate starts no tasks. It answers heartbeats with the leader's token only while the
/// store, which belongs to no zone, confirms that token, only after its own record in the store
/// says that it is active, and only if it has recently read the jobs of all listed tasks. It stops
/// tasks of jobs that are no longer active, such as cancelled ones.
class lease_delegate {
 public:
  /// Queries to the controller.
  struct hooks {
    /// Returns the leader that this controller knows.
    std::function<leader_contact()> leader;
    /// Returns the zone of a controller.
    std::function<zone_name(const node_name& node)> zone_of;
  };
  /// Identity and limits of the delegate.
  struct settings {
    node_name node;
    zone_name zone;
    /// Maximum age of a job's status when an answer renews a lease. A task may run for one more
    /// worker lease after such an answer, so this may be at most the time allowed for a
    /// cancellation less that lease.
    duration max_job_age{};
  };
  lease_delegate(net::runtime& runtime, kvstore::client& store, const settings& delegate_settings,
                 hooks events);
  ~lease_delegate() = default;
  lease_delegate(const lease_delegate&) = delete;
  lease_delegate& operator=(const lease_delegate&) = delete;

  /// Starts checking once per second whether the delegate is no longer needed and its record can be
  /// made inactive.
  void start();
  /// Reports whether there is a leader in another zone with which this controller has no contact.
  bool is_needed() const;
  /// Reports whether this delegate is needed and the heartbeat comes from a worker in its zone.
  bool is_delegate_for(const worker_heartbeat& heartbeat) const;
  /// Answers with 200 once the token and all jobs are confirmed, or with 503 if they are not
  /// confirmed in time.
  void handle(worker_heartbeat heartbeat, net::reply_fn reply);

 private:
  /// A heartbeat whose answer waits for reads and writes of the store.
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
  time_point token_confirmed_at_{};  // when the read that confirmed it was sent
  bool confirmation_in_progress_ = false;
  std::vector<pending_answer> pending_;
  net::timer check_timer_;
  callback_guard guard_;
};

}  // namespace gingerdrift::workers
