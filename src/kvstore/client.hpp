#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kvstore/json_fields.hpp"
#include "kvstore/limits.hpp"
#include "kvstore/request_budget.hpp"
#include "kvstore/types.hpp"
#include "net/transport.hpp"

namespace gingerdrift::kvstore {

/// Client of the state service, a replicated key-value store with leases and transactions.
///
/// A request that exceeds the controller's budget is not sent; its result is `rate_limited`, as if
/// the service itself had refused it. Every request calls `done` once, on the event loop's thread.
/// The client has to outlive its requests.
class client {
 public:
  /// `announced`: limits whose rates are used once the service refuses the current rates.
  client(net::runtime& runtime, std::string address, const service_limits& limits,
         const std::optional<service_limits>& announced, const limit_shares& shares);

  /// Reads a key.
  void get(const std::string& key, result_fn done);
  /// Reads the store's current revision, from which a watch can start.
  void get_revision(result_fn done);
  /// Reads a key on behalf of a user. Such requests also have a budget of their own, so that
  /// elections and lease renewals still succeed however many requests users make.
  void get_for_user(const std::string& key, result_fn done);
  /// Reads a key for work that can wait. The request is sent only while at least half of the
  /// request budget is left, so that elections, renewals and users' requests take precedence.
  /// Otherwise the result is `rate_limited`.
  void get_in_background(const std::string& key, result_fn done);
  /// Reads a page of the entries whose keys have this prefix, starting after the key `after` unless
  /// that is empty.
  void list(const std::string& prefix, const std::string& after, result_fn done);
  /// Reads a page of at most `limit` entries under the same rule as `get_in_background`.
  void list_in_background(const std::string& prefix, const std::string& after, std::size_t limit,
                          result_fn done);
  /// Checks conditions on behalf of a user, without a change. The result is `conflict`, with the
  /// keys whose condition does not hold, if there are any. Uses the same budget as `get_for_user`.
  void compare_for_user(const std::vector<condition>& conditions, result_fn done);
  /// Carries out all operations if all conditions hold, and none otherwise. If the result is
  /// `no_answer`, the service may still carry out the transaction at any later time.
  void txn(const std::vector<condition>& conditions, const std::vector<operation>& operations,
           result_fn done);
  /// Requests a new lease.
  void grant(duration ttl, result_fn done);
  /// Renews a lease. The request is essential: it is sent even if the budget is used up, so that a
  /// node does not lose its lease because of the load that many workers and users put on it.
  void renew(std::uint64_t lease, duration deadline, result_fn done);
  /// Gives up a lease.
  void drop(std::uint64_t lease, result_fn done);
  /// Waits for changes of keys with this prefix, from the revision `from` on. If there are none
  /// within `wait`, the result has no entries.
  void watch(const std::string& prefix, store_revision from, duration wait, result_fn done);

  /// Returns the number of writes that the leader's records may use now. Some of the budget is left
  /// for job submissions.
  double writes_for_records() { return budget_.writes_for_records(runtime_.now()); }
  /// Returns the rate of this controller's write budget, in writes per second.
  double write_rate() const { return budget_.write_rate(); }
  /// Sets the share of the service's write limit that this controller may use. The leader needs the
  /// largest share because it does most of the writing.
  void set_write_share(double share) { budget_.set_write_share(runtime_.now(), share); }
  /// Returns when the last result other than `no_answer` or `unavailable` arrived.
  time_point last_response_time() const { return last_response_time_; }
  /// Returns when a request last ended with `no_answer` or `unavailable`.
  time_point last_unavailable_time() const { return last_unavailable_time_; }

 private:
  /// Time limit for the response to a request, the number of its writes, and its urgency.
  struct request_options {
    duration deadline;
    double writes = 0;
    request_urgency urgency = request_urgency::ordinary;
  };
  void send(net::request message, const request_options& options, result_fn done);
  void handle_result(const result& received, double writes, const result_fn& done);
  void list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                 result_fn done);
  /// Calls `done` later with `rate_limited`, without sending a request.
  void reject_rate_limited(result_fn done);
  bool has_spare_requests() { return budget_.has_spare_requests(runtime_.now()); }

  net::runtime& runtime_;
  std::string address_;
  request_budget budget_;
  time_point last_response_time_{};
  time_point last_unavailable_time_{};
};

}  // namespace gingerdrift::kvstore
