#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "job_store/change_queue.hpp"
#include "job_store/placement_log.hpp"
#include "job_store/record_keys.hpp"
#include "job_store/terminal_state.hpp"
#include "kvstore/types.hpp"

namespace gingerdrift::job_store {

/// Terminal status of a job in a record whose write is not acknowledged yet. It becomes a
/// terminal_state only when the state service acknowledges the write.
struct unconfirmed_state {
  job_status status = job_status::active;
  std::uint32_t tasks_done = 0;
};

/// Kind of change that a transaction makes to a unit's key.
enum class unit_write_kind : std::uint8_t {
  update,
  removal,               // deletes a part of an ended job
  replacement_by_final,  // deletes a head and writes the job's final record instead
};

/// Write of one unit in a transaction.
struct unit_write {
  unit_id unit;
  std::uint64_t change = 0;  // number of the newest change of the unit that the write contains
  unit_write_kind kind = unit_write_kind::update;
  write_urgency urgency = write_urgency::urgent;
  /// Terminal status in the written record, if it has one.
  std::optional<unconfirmed_state> written_state;
};

/// A transaction under construction, limited by a budget of operations.
class commit_batch {
 public:
  /// `leader`: condition on the leader key; the transaction fails if the key's version has changed.
  commit_batch(kvstore::condition leader, double operation_budget) : budget_(operation_budget) {
    conditions_.push_back(std::move(leader));
  }

  double budget() const { return budget_; }
  bool has_budget_for(double operations) const { return budget_ >= operations; }
  /// Reports whether the records have reached the planned total size.
  bool full() const { return bytes_ >= planned_record_bytes; }
  /// Reports whether a value of `bytes` still fits. The first value always fits.
  bool fits(std::size_t bytes) const {
    return bytes_ == 0 || bytes_ + bytes <= planned_record_bytes;
  }

  void require_version(std::string key, store_revision version) {
    conditions_.push_back({std::move(key), version});
  }
  void require_absent(std::string key) { require_version(std::move(key), {}); }
  void remove(std::string key) { add(kvstore::operation::remove(std::move(key))); }
  void put(std::string key, kvstore::json value) {
    add(kvstore::operation::put(std::move(key), std::move(value)));
  }
  /// Adds a put of a record that counts towards the planned total size.
  void put_record(std::string key, kvstore::json value, std::size_t bytes) {
    bytes_ += bytes;
    largest_value_bytes_ = std::max(largest_value_bytes_, bytes);
    put(std::move(key), std::move(value));
  }
  void add_log_write(placement_log::log_write write) {
    conditions_.push_back(std::move(write.condition));
    add(std::move(write.operation));
    has_placements_ = true;
  }
  void add_unit(unit_write write) { units_.push_back(std::move(write)); }

  bool empty() const { return operations_.empty(); }
  bool has_placements() const { return has_placements_; }
  std::size_t largest_value_bytes() const { return largest_value_bytes_; }
  const std::vector<kvstore::condition>& conditions() const { return conditions_; }
  const std::vector<kvstore::operation>& operations() const { return operations_; }
  const std::vector<unit_write>& units() const { return units_; }

 private:
  /// Planned total size of the records in a transaction. The limit for a transaction is 64 KiB; a
  /// value of the placement log comes in addition.
  static constexpr std::size_t planned_record_bytes = std::size_t{28} << 10;

  void add(kvstore::operation operation) {
    operations_.push_back(std::move(operation));
    budget_ -= 1;
  }

  double budget_;
  std::size_t bytes_ = 0;
  std::size_t largest_value_bytes_ = 0;
  bool has_placements_ = false;
  std::vector<kvstore::condition> conditions_;
  std::vector<kvstore::operation> operations_;
  std::vector<unit_write> units_;
};

}  // namespace gingerdrift::job_store
