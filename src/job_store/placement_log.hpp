#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "job_store/record_keys.hpp"
#include "kvstore/types.hpp"

namespace gingerdrift::job_store {

/// A placed attempt. It stays in the log until the record of its job contains it.
struct placement {
  job_id job;
  std::uint32_t task = 0;
  attempt_number number;
  machine_name machine;
  worker_incarnation incarnation;
  std::size_t unit = 0;
  std::uint64_t change = 0;  // change of the unit; the entry is superseded once it is stored
};

/// Log of the placements of many jobs, which are written together under a few keys.
///
/// A placement must be stored before its start command is sent. When each placement took a write of
/// its job's record, hundreds of jobs waited for the store's write limit while the capacity
/// reserved for them was idle. With the log, the records can be written later.
///
/// An entry stays in the log until the job's record contains its attempt. Superseded entries are
/// harmless, because a reader compares them with the change number in the record.
class placement_log {
 public:
  /// Reports whether an entry is superseded: the stored record of its job contains the attempt, or
  /// the job has ended.
  using is_superseded_fn = std::function<bool(const placement&)>;
  /// Write of one key of the log.
  struct log_write {
    kvstore::condition condition;
    kvstore::operation operation;
  };

  explicit placement_log(std::size_t value_bytes) : value_bytes_(value_bytes) {}

  void add(placement placement);
  void set_value_bytes(std::size_t value_bytes) { value_bytes_ = value_bytes; }
  /// Approximate size of the value that was prepared last, in bytes.
  std::size_t prepared_bytes() const { return prepared_bytes_; }
  /// Reports whether placements wait to be written.
  bool has_pending() const { return !pending_.empty(); }

  /// Returns a write that stores as many pending placements as fit into one key, or nothing if no
  /// placement is pending or all keys are full. acknowledge() or requeue() must be called before
  /// the next call.
  std::optional<log_write> prepare(const is_superseded_fn& is_superseded);
  /// Records that the write prepared last succeeded. Returns the placements that it stored.
  std::vector<placement> acknowledge(store_revision revision);
  /// Records that the write prepared last failed. Its placements become pending again.
  void requeue();
  /// Sets the version of a key of the log, which is read again after a write that got no answer.
  void set_version(const std::string& key, store_revision version);
  /// Restores a key that an earlier leader wrote, and returns its entries. If the value is
  /// malformed, throws record_error and restores nothing.
  std::vector<placement> load(const kvstore::entry& stored);

 private:
  /// Version and entries of a key of the log.
  struct slot {
    store_revision version;
    std::vector<placement> entries;
  };
  /// Returns the index of the slot for the next write, or nothing while all keys are full.
  std::optional<std::size_t> choose_slot(const is_superseded_fn& is_superseded);
  /// Moves as many pending placements to `in_flight_` as fit into the current slot.
  void fill_current_slot();

  std::size_t value_bytes_;
  std::vector<slot> slots_;
  std::size_t current_slot_ = 0;  // index of the slot that takes new entries
  std::vector<placement> pending_;
  std::vector<placement> in_flight_;
  std::size_t prepared_bytes_ = 0;
};

}  // namespace gingerdrift::job_store
