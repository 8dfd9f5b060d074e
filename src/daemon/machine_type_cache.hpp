#pragma once

#include <string>
#include <vector>

#include "admission/types.hpp"
#include "base/callback_guard.hpp"
#include "kvstore/client.hpp"
#include "net/timer.hpp"

namespace gingerdrift::daemon {

/// Caches the machine types that the cloud offers and refreshes them periodically.
///
/// The first types fetched from the cloud while none are known are written to the store, so that
/// another controller can start while the cloud is down. Not thread-safe; runs on the thread of the
/// runtime.
class machine_type_cache {
 public:
  /// `cloud_address` is the address of the cloud's API.
  machine_type_cache(net::runtime& runtime, kvstore::client& store, std::string cloud_address);

  /// Loads the types from the store and from the cloud, and starts to refresh them from the cloud.
  void start();
  /// Returns the types as last read; empty until they are known.
  const std::vector<admission::machine_type>& types() const { return types_; }

 private:
  void load_stored_types();
  void fetch();
  void types_fetched(const net::response& response);
  void store_types();

  net::runtime& runtime_;
  kvstore::client& store_;
  const std::string cloud_address_;
  std::vector<admission::machine_type> types_;
  net::timer fetch_timer_;
  callback_guard guard_;
};

}  // namespace gingerdrift::daemon
