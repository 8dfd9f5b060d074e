#pragma once

#include <cstdint>
#include <vector>

#include "base/callback_guard.hpp"
#include "base/ids.hpp"
#include "kvstore/client.hpp"
#include "net/timer.hpp"
#include "net/transport.hpp"

namespace gingerdrift::versioning {

/// The record format in which jobs can have dependencies. Controllers that support it write this
/// number to their record in the store; earlier versions write no record.
constexpr std::uint64_t dependencies_format = 2;

/// Records in the store which format this controller supports, and determines whether all other
/// controllers support it too. Not thread-safe: to be used on one thread.
///
/// Once upgraded, a controller never restarts with its old version, so a record remains valid once
/// it is written. Requests that an older version would misinterpret are accepted only once every
/// controller has written its record.
class version_registry {
 public:
  /// `nodes`: all controllers, including this one (`node`).
  version_registry(net::runtime& runtime, kvstore::client& store, node_name node,
                   std::vector<node_name> nodes);
  ~version_registry() = default;
  version_registry(const version_registry&) = delete;
  version_registry& operator=(const version_registry&) = delete;

  /// Starts to read the records periodically until every controller has one, and writes this
  /// controller's own record if it is missing.
  void start();
  /// Reports whether every controller is known to support dependencies between jobs.
  bool all_support_dependencies() const { return all_nodes_support_dependencies_; }
  /// Returns the controllers that are not yet known to support dependencies: their record was not
  /// found, or names an older format.
  std::vector<node_name> nodes_without_support() const;

 private:
  void read_records();
  void handle_records(const kvstore::result& records);
  void write_own_record();
  void schedule_next_read();

  kvstore::client& store_;
  node_name node_;
  std::vector<node_name> nodes_;
  std::vector<node_name> supporting_nodes_;
  bool all_nodes_support_dependencies_ = false;
  net::timer timer_;
  callback_guard guard_;
};

}  // namespace gingerdrift::versioning
