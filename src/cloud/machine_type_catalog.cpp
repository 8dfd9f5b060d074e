#include "cloud/machine_type_catalog.hpp"

#include "cloud/codec.hpp"

namespace gingerdrift::cloud {

namespace {
constexpr auto refresh_period = seconds(60);
constexpr auto refresh_retry_delay = failure_pause * 2;
constexpr auto default_boot_time = seconds(60);
}  // namespace

machine_type_catalog::machine_type_catalog(cloud_client& client, std::function<void()> changed)
    : client_(client), changed_(std::move(changed)) {}

void machine_type_catalog::refresh_if_due() {
  const time_point now = client_.now();
  if (now < next_refresh_ || !client_.try_acquire()) return;
  next_refresh_ = now + refresh_period;
  client_.call({"GET", "/flavors", ""},
               [this](const net::response& response) { handle_response(response); });
}

void machine_type_catalog::handle_response(const net::response& response) {
  auto types = response.status == 200 ? decode_machine_types(response.body) : std::nullopt;
  if (!types || types->empty()) {
    next_refresh_ = client_.now() + refresh_retry_delay;
    return;
  }
  types_ = std::move(*types);
  changed_();
}

duration machine_type_catalog::boot_time(const std::string& type_name) const {
  for (const auto& type : types_) {
    if (type.name == type_name) return type.boot;
  }
  return default_boot_time;
}

}  // namespace gingerdrift::cloud
