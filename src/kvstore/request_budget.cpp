#include "kvstore/request_budget.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::kvstore {

namespace {
/// Share of the write budget that the leader's records leave to job submissions. Otherwise the
/// records of a busy leader would use up every write as soon as it becomes available, and users who
/// submit jobs to the leader would be told to retry later.
constexpr double submission_write_share = 0.1;
/// Maximum number of writes that are left to job submissions.
constexpr double max_submission_writes = 3;
/// Time for which the announced rates are used after a rate limit error. Then the earlier rates are
/// tried again, because the error may also have been caused by a short burst of all controllers
/// together.
constexpr duration announced_rates_duration = seconds(60);
}  // namespace

request_budget::request_budget(const service_limits& limits,
                               const std::optional<service_limits>& announced,
                               const limit_shares& shares)
    : limits_(limits),
      announced_(announced),
      shares_(shares),
      requests_(limits.requests_per_s * shares.requests),
      writes_(limits.writes_per_s * shares.writes),
      user_requests_(limits.requests_per_s * shares.user_requests) {}

bool request_budget::reserve(time_point now, double writes, request_urgency urgency) {
  if (announced_rates_until_ != time_point{} && now >= announced_rates_until_) {
    announced_rates_until_ = {};
    apply_rates(now);
  }
  const bool is_within_budget = requests_.available(now) >= 1 && writes_.available(now) >= writes;
  if (!is_within_budget && urgency == request_urgency::ordinary) return false;
  requests_.spend(now, 1);
  writes_.spend(now, writes);
  return true;
}

bool request_budget::has_spare_requests(time_point now) {
  return requests_.available(now) >= requests_.rate() / 2;
}

double request_budget::writes_for_records(time_point now) {
  const double submission_writes =
      std::min(max_submission_writes, writes_.rate() * submission_write_share);
  return writes_.available(now) - submission_writes;
}

void request_budget::set_write_share(time_point now, double share) {
  shares_.writes = share;
  apply_rates(now);
}

/// The service answers with the same error for its request limit and for its write limit, so that
/// it is not known which of them was exceeded.
void request_budget::handle_rate_limit_error(time_point now, double writes) {
  if (announced_) {
    if (now >= announced_rates_until_) spdlog::info("store_announced_limits_in_use");
    announced_rates_until_ = now + announced_rates_duration;
    apply_rates(now);
  }
  requests_.drain(now);
  if (writes > 0) writes_.drain(now);
}

void request_budget::apply_rates(time_point now) {
  service_limits limits = limits_;
  if (announced_ && now < announced_rates_until_) {
    limits.requests_per_s = std::min(limits.requests_per_s, announced_->requests_per_s);
    limits.writes_per_s = std::min(limits.writes_per_s, announced_->writes_per_s);
  }
  requests_.set_rate(now, limits.requests_per_s * shares_.requests);
  writes_.set_rate(now, limits.writes_per_s * shares_.writes);
  user_requests_.set_rate(now, limits.requests_per_s * shares_.user_requests);
}

}  // namespace gingerdrift::kvstore
