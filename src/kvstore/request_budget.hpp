#pragma once

#include <cstdint>
#include <optional>

#include "base/time.hpp"
#include "base/token_bucket.hpp"
#include "kvstore/limits.hpp"

namespace gingerdrift::kvstore {

/// Shares of the state service's rate limits that one controller may use, each between 0 and 1.
struct limit_shares {
  double requests = 1;
  double writes = 1;
  double user_requests = 1;  // requests made on behalf of users, as a share of the request limit
};

/// Urgency of a request. Ordinary requests are sent only if the budget suffices. Essential ones are
/// always sent; the budget may become negative, so that ordinary requests wait longer afterwards.
enum class request_urgency : std::uint8_t { ordinary, essential };

/// One controller's budget of requests and writes to the state service.
///
/// If lower limits were announced, a rate limit error may mean that they have come into force. For
/// some time after such an error, no more than the announced rates is used.
class request_budget {
 public:
  /// `announced`: limits whose rates are used once the service refuses the current rates.
  request_budget(const service_limits& limits, const std::optional<service_limits>& announced,
                 const limit_shares& shares);

  /// Reserves a request with `writes` writes. Returns false and reserves nothing if the request is
  /// ordinary and exceeds the budget.
  bool reserve(time_point now, double writes, request_urgency urgency);
  /// Reserves one request of the budget for users. Returns false if that budget is used up.
  bool reserve_for_user(time_point now) { return user_requests_.try_take(now); }
  /// Reports whether at least half of the requests of one second are left, so that requests that
  /// can wait may be sent.
  bool has_spare_requests(time_point now);
  /// Returns the number of writes that the leader's records may use now. Some of the budget is left
  /// for job submissions.
  double writes_for_records(time_point now);
  /// Returns the rate of the write budget, in writes per second.
  double write_rate() const { return writes_.rate(); }

  /// Sets the share of the service's write limit that this controller may use.
  void set_write_share(time_point now, double share);
  /// Reacts to a rate limit error of the service for a request with `writes` writes.
  void handle_rate_limit_error(time_point now, double writes);

 private:
  void apply_rates(time_point now);

  service_limits limits_;
  std::optional<service_limits> announced_;
  limit_shares shares_;
  time_point announced_rates_until_{};  // time until which the announced rates are in use
  token_bucket requests_;
  token_bucket writes_;
  token_bucket user_requests_;
};

}  // namespace gingerdrift::kvstore
