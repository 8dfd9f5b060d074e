#pragma once

#include <functional>
#include <string>
#include <vector>

#include "admission/types.hpp"
#include "cloud/cloud_client.hpp"

namespace gingerdrift::cloud {

/// The machine types that the cloud offers, refreshed every minute.
class machine_type_catalog {
 public:
  /// `changed` is invoked after each successful refresh.
  machine_type_catalog(cloud_client& client, std::function<void()> changed);

  /// Requests the types if a refresh is due and the rate budget allows it.
  void refresh_if_due();
  /// Sets types obtained from another source, which are used until the first successful refresh.
  void set(std::vector<admission::machine_type> types) { types_ = std::move(types); }
  /// The machine types; empty while they are unknown.
  const std::vector<admission::machine_type>& types() const { return types_; }
  /// Returns how long a machine of that type takes to boot, or a default for an unknown type.
  duration boot_time(const std::string& type_name) const;

 private:
  void handle_response(const net::response& response);

  cloud_client& client_;
  std::function<void()> changed_;
  std::vector<admission::machine_type> types_;
  time_point next_refresh_{};
};

}  // namespace gingerdrift::cloud
