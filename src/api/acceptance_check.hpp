#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_set>
#include <vector>

#include "base/callback_guard.hpp"
#include "kvstore/client.hpp"
#include "net/transport.hpp"

namespace gingerdrift::api {

/// Checks in the state service whether jobs were ever accepted.
///
/// Each batch is a transaction with conditions and no operations. It requires the head and the
/// final record of each job to be absent, and its result lists the keys that exist, so that the
/// records of many jobs are checked atomically. Once accepted, a job counts as accepted forever, so
/// positive results are cached. Negative results are never cached, because the job may be accepted
/// later.
class acceptance_check {
 public:
  /// The result of a check.
  enum class verdict : std::uint8_t {
    all_accepted,
    not_accepted,  // at least one of the jobs was never accepted
    undecided,     // time or request budget ran out before the check was complete; to be retried
    unreachable,   // the state service does not answer
  };
  using verdict_fn = std::function<void(verdict)>;

  /// `txn_operations`: the state service's limit on operations per transaction, from which its
  /// limit on conditions follows.
  acceptance_check(net::runtime& runtime, kvstore::client& store, std::uint32_t txn_operations);
  ~acceptance_check() = default;
  acceptance_check(const acceptance_check&) = delete;
  acceptance_check& operator=(const acceptance_check&) = delete;

  /// Calls `done` with whether all jobs were accepted. If the list is too long to be checked within
  /// the time limit, the verdict is `undecided`. The jobs found accepted by then are cached, so
  /// that a retry has fewer jobs left to check.
  void check(std::vector<job_id> jobs, verdict_fn done);
  /// Caches that the job was accepted.
  void remember(const job_id& job);

 private:
  /// A check that has not called back yet.
  struct pending_check {
    std::vector<job_id> unchecked;
    time_point deadline;
    verdict_fn done;
  };
  void check_next_batch(const std::shared_ptr<pending_check>& check);
  void handle_batch_result(const std::shared_ptr<pending_check>& check, std::size_t batch_size,
                           const kvstore::result& store_result);

  net::runtime& runtime_;
  kvstore::client& store_;
  std::size_t max_batch_size_;
  std::unordered_set<job_id> accepted_;
  std::list<job_id> accepted_order_;  // insertion order; the oldest is evicted first
  callback_guard guard_;
};

}  // namespace gingerdrift::api
