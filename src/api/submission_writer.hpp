#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "base/callback_guard.hpp"
#include "job_store/job.hpp"
#include "kvstore/client.hpp"

namespace gingerdrift::api {

/// Stores new jobs in the state service.
///
/// A job is accepted when its head record is written. The head is written only if neither a head
/// nor a final record of the job exists, which makes submissions idempotent. A dependency list that
/// does not fit into the head is split into parts under separate keys, which are stored no later
/// than the head that refers to them. Each attempt to store a job uses part keys of its own.
class submission_writer {
 public:
  /// The result of a write.
  enum class outcome : std::uint8_t {
    stored,
    already_accepted,  // the job already has a head or a final record
    over_budget,       // the rate limit is used up; to be retried
    unreachable,       // no usable answer; the job may have been stored nevertheless
  };
  using outcome_fn = std::function<void(outcome)>;

  /// `sizes`: size limits of values and transactions. `node`: name of this controller, which
  /// becomes part of the keys that hold dependency lists.
  submission_writer(kvstore::client& store, const kvstore::service_limits& sizes, node_name node);

  /// Stores the job with its dependencies, and calls `done` once with the result.
  void write(const job_store::job& job, const std::vector<job_id>& dependencies, outcome_fn done);

 private:
  /// A write that has not called back yet.
  struct pending_write {
    job_store::job job;
    std::vector<kvstore::json> dependency_parts;
    std::size_t next_part = 0;
    outcome_fn done;
  };
  using write_ptr = std::shared_ptr<pending_write>;

  void choose_dependency_storage(pending_write& write,
                                 const std::vector<job_id>& dependencies) const;
  std::vector<kvstore::operation> take_next_part_operations(pending_write& write) const;
  void write_parts(const write_ptr& write);
  void write_head(const write_ptr& write, std::vector<kvstore::operation> operations);

  kvstore::client& store_;
  kvstore::service_limits sizes_;
  node_name node_;
  callback_guard guard_;
};

}  // namespace gingerdrift::api
