#include "cloud/cloud_client.hpp"

namespace gingerdrift::cloud {

namespace {
constexpr auto call_deadline = seconds(4);
/// Share of the cloud's rate limit that the leader uses. The rest is left to the other controllers,
/// which query the machine types.
constexpr double rate_limit_share = 0.75;
}  // namespace

cloud_client::cloud_client(net::runtime& runtime, std::string address, double rate_limit,
                           std::function<bool()> is_permitted)
    : runtime_(runtime),
      address_(std::move(address)),
      is_permitted_(std::move(is_permitted)),
      budget_(rate_limit * rate_limit_share) {}

bool cloud_client::try_acquire() {
  const time_point now = runtime_.now();
  return now >= paused_until_ && is_permitted_() && budget_.try_take(now);
}

void cloud_client::call(net::request request, response_handler on_response) {
  runtime_.call(address_, std::move(request), call_deadline, guard_.wrap(std::move(on_response)));
}

void cloud_client::pause_after_failure() { paused_until_ = runtime_.now() + failure_pause; }

}  // namespace gingerdrift::cloud
