#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "job_store/change_queue.hpp"
#include "job_store/commit_batch.hpp"
#include "job_store/job_map.hpp"
#include "job_store/placement_log.hpp"
#include "job_store/transaction_limits.hpp"

namespace gingerdrift::job_store {

/// Write budget that the state service's rate limits leave for the leader's records.
struct write_allowance {
  double writes_now = 0;
  double writes_per_s = 0;
};

/// Selects the changes for the next transaction.
///
/// When there are more changes than the store's limits allow, final states and cancellations take
/// precedence over placements, and placements over deferrable changes. A builder is used for one
/// transaction only.
class batch_builder {
 public:
  /// Inputs of the transaction. Units that are added to it are removed from `changes`.
  struct sources {
    job_map& jobs;
    change_queue& changes;
    placement_log& placements;
    const transaction_limits& limits;
  };

  /// `last_placement_write`: time of the latest transaction that contained placements.
  batch_builder(const sources& from, const write_allowance& allowance, time_point now,
                time_point last_placement_write);

  /// Builds the transaction. `leader`: condition on the leader key, which every transaction has.
  commit_batch build(kvstore::condition leader);
  /// Jobs whose head record currently exceeds the value size limit and was left out.
  const std::vector<job_id>& oversized_heads() const { return oversized_heads_; }

 private:
  /// Outcome of adding a unit to the transaction.
  enum class add_result : std::uint8_t {
    added,
    unchanged,   // the unit needs no write of its own
    blocked,     // other units of the job must be written first
    too_large,   // the record exceeds the value size limit; the unit is queued again
    batch_full,  // the transaction size or the write budget is used up
  };

  void add_urgent(commit_batch& batch);
  void add_placements(commit_batch& batch);
  void add_deferrable(commit_batch& batch);
  add_result add_unit(commit_batch& batch, const unit_id& unit, write_urgency urgency);
  add_result add_finalizing_head(commit_batch& batch, job& job, write_urgency urgency);
  add_result add_finalizing_part(commit_batch& batch, const job& job, const unit_id& unit,
                                 write_urgency urgency);
  add_result add_update(commit_batch& batch, const job& job, const unit_id& unit,
                        write_urgency urgency);
  /// Replaces the head and all parts by the final record in this transaction.
  static add_result add_final_record(commit_batch& batch, const job& job, write_urgency urgency);
  add_result add_value(commit_batch& batch, const job& job, const unit_id& unit);
  bool can_finalize_in_one_transaction(const job& job) const;

  sources sources_;
  write_allowance allowance_;
  time_point now_;
  time_point last_placement_write_;
  bool has_unwritten_urgent_ = false;  // an urgent change did not fit
  std::vector<job_id> oversized_heads_;
};

}  // namespace gingerdrift::job_store
