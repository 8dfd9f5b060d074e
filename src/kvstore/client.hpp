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
/// Requests that the controller's budget has no room for are not sent: they are answered with
/// `rate_limited`, as the service itself would. Every request calls back once, on the loop's
/// thread; the client has to outlive its requests.
class client {
 public:
  /// `announced`: the rates to use once the service refuses the present ones.
  client(net::runtime& runtime, std::string address, const service_limits& limits,
         const std::optional<service_limits>& announced, const limit_shares& shares);

  void get(const std::string& key, result_fn done);
  /// For users' questions: within a budget of its own, so that however many ask, elections and
  /// lease renewals still get through.
  void get_for_user(const std::string& key, result_fn done);
  /// For what may wait: from the half of the budget that is left over only, so that elections,
  /// renewals and users' questions go first. `rate_limited` where there is none.
  void get_in_background(const std::string& key, result_fn done);
  /// A page of the entries with this prefix, behind the key `after` unless it is empty.
  void list(const std::string& prefix, const std::string& after, result_fn done);
  /// A page of at most `limit` entries, within the same budget as `get_in_background`.
  void list_in_background(const std::string& prefix, const std::string& after, std::size_t limit,
                          result_fn done);
  /// Only compares, for a user's question: `conflict` with the keys that differ.
  void compare_for_user(const std::vector<condition>& conditions, result_fn done);
  /// All operations if all conditions hold, otherwise none. Without an answer it may be carried out
  /// at any later moment.
  void txn(const std::vector<condition>& conditions, const std::vector<operation>& operations,
           result_fn done);
  void grant(duration ttl, result_fn done);
  /// Essential: a renewal is sent however little is left of the budget, so that a node does not
  /// lose its lease to a herd of workers and users that ask it.
  void renew(std::uint64_t lease, duration deadline, result_fn done);
  void drop(std::uint64_t lease, result_fn done);
  /// Changes of keys with this prefix from that revision on; answered without any after `wait`.
  void watch(const std::string& prefix, store_revision from, duration wait, result_fn done);

  /// What the leader's records may take now; a little is left for submissions.
  double writes_for_records() { return budget_.writes_for_records(runtime_.now()); }
  /// Writes per second.
  double write_rate() const { return budget_.write_rate(); }
  /// The leader does most of the writing.
  void set_write_share(double share) { budget_.set_write_share(runtime_.now(), share); }
  /// Last time anything but silence or `unavailable` came back.
  time_point last_response_time() const { return last_response_time_; }
  time_point last_unavailable_time() const { return last_unavailable_time_; }

 private:
  /// What a request costs, and how long its answer is awaited.
  struct request_options {
    duration deadline;
    double writes = 0;
    request_urgency urgency = request_urgency::ordinary;
  };
  void send(net::request message, const request_options& options, result_fn done);
  void answered(const result& answer, double writes, const result_fn& done);
  void list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                 result_fn done);
  /// Answers later with `rate_limited`, without a request.
  void refuse(result_fn done);
  bool has_spare_requests() { return budget_.has_spare_requests(runtime_.now()); }

  net::runtime& runtime_;
  std::string address_;
  request_budget budget_;
  time_point last_response_time_{};
  time_point last_unavailable_time_{};
};

}  // namespace gingerdrift::kvstore
