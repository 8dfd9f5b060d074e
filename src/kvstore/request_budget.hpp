#pragma once

#include <cstdint>
#include <optional>

#include "base/time.hpp"
#include "base/token_bucket.hpp"
#include "kvstore/limits.hpp"

namespace gingerdrift::kvstore {

/// Of the state service's limits, what one controller may use: shares between 0 and 1.
struct limit_shares {
  double requests = 1;
  double writes = 1;
  double user_requests = 1;  // for users' questions
};

/// Essential requests are sent whatever is left of the budget, which then makes up for it.
enum class request_urgency : std::uint8_t { ordinary, essential };

/// One controller's budget of requests and writes to the state service.
///
/// Where lower limits were announced, a refusal for rate may mean that they have come into force:
/// they are used for a while from then on.
class request_budget {
 public:
  /// `announced`: the rates to use once the service refuses the present ones.
  request_budget(const service_limits& limits, const std::optional<service_limits>& announced,
                 const limit_shares& shares);

  /// Takes a request with that many writes; false if it is ordinary and there is no room for it.
  bool reserve(time_point now, double writes, request_urgency urgency);
  /// Takes one of the requests set aside for users' questions.
  bool reserve_for_user(time_point now) { return user_requests_.try_take(now); }
  /// Whether half of a second's requests are left, so that what may wait can be asked.
  bool has_spare_requests(time_point now);
  /// Writes that the leader's records may take now; a little is left for submissions.
  double writes_for_records(time_point now);
  /// Writes per second.
  double write_rate() const { return writes_.rate(); }

  void set_write_share(time_point now, double share);
  /// The service refused a request with that many writes for its rate.
  void refused_for_rate(time_point now, double writes);

 private:
  void apply_rates(time_point now);

  service_limits limits_;
  std::optional<service_limits> announced_;
  limit_shares shares_;
  time_point reduced_until_{};  // the announced rates are in use until then
  token_bucket requests_;
  token_bucket writes_;
  token_bucket user_requests_;
};

}  // namespace gingerdrift::kvstore
