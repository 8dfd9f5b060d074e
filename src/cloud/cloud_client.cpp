#include "cloud/cloud_client.hpp"

namespace gingerdrift::cloud {

namespace {
constexpr auto call_deadline = seconds(4);
/// Share of the cloud's limit that the leader uses; other controllers ask for types.
constexpr double rate_limit_share = 0.75;
}  // namespace

cloud_client::cloud_client(net::runtime& runtime, std::string address, double rate_limit,
                           std::function<bool()> permitted)
    : runtime_(runtime),
      address_(std::move(address)),
      permitted_(std::move(permitted)),
      budget_(rate_limit * rate_limit_share) {}

bool cloud_client::try_acquire() {
  const time_point now = runtime_.now();
  return now >= paused_until_ && permitted_() && budget_.try_take(now);
}

void cloud_client::call(net::request message, reply_handler done) {
  runtime_.call(address_, std::move(message), call_deadline, guard_.wrap(std::move(done)));
}

void cloud_client::pause_after_failure() { paused_until_ = runtime_.now() + failure_pause; }

}  // namespace gingerdrift::cloud
