#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "store/client.hpp"

namespace gingerdrift::store {

/// An attempt that was placed, as the log keeps it until its job's record shows it.
struct start_entry {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t number = 0;  // of the try
  std::string machine;
  std::uint64_t session = 0;
  std::size_t unit = 0;
  std::uint64_t change = 0;  // of the unit: a record that has seen it needs the entry no more
};

extern const char* const log_prefix;

/// Starts of many jobs, written together in a few keys. A start must be stored before it is sent;
/// with a write of its job's record for each, hundreds of jobs waited for the store's write limit
/// while their places stood idle. The records follow at leisure.
///
/// Entries stay until the record has caught up. Stale ones do no harm: a reader compares them with
/// the record's own count of changes.
class start_log {
 public:
  explicit start_log(std::size_t value_bytes) : value_bytes_(value_bytes) {}

  void add(start_entry one);
  void set_value_bytes(std::size_t value_bytes) { value_bytes_ = value_bytes; }
  /// About the size of the value prepared last.
  std::size_t biggest_value() const { return prepared_bytes_; }
  bool waiting() const { return !fresh_.empty(); }
  /// Whether a record has caught up with an entry, or its job is over.
  using absorbed_fn = std::function<bool(const start_entry&)>;
  /// The write that stores what waits, as far as a key has room for it.
  void prepare(const absorbed_fn& absorbed, std::vector<condition>& conditions,
               std::vector<operation>& operations);
  /// The outcome of the write prepared last; returns the entries it stored.
  std::vector<start_entry> written(std::uint64_t revision);
  void failed();
  /// Our key's version, read after an unanswered write.
  void learn(const std::string& key, std::uint64_t version);
  /// Takes in a stored key of an earlier leader; throws when it is not ours to read.
  std::vector<start_entry> read(const entry& found);

 private:
  struct slot {
    std::uint64_t version = 0;
    std::vector<start_entry> entries;
  };
  std::size_t size(const std::vector<start_entry>& entries) const;
  /// Nothing while every key is full.
  std::optional<std::size_t> choose(const absorbed_fn& absorbed);

  std::size_t value_bytes_;
  std::vector<slot> slots_;
  std::size_t open_ = 0;  // the slot that takes new entries
  std::vector<start_entry> fresh_;
  std::vector<start_entry> in_flight_;
  std::size_t prepared_bytes_ = 0;
};

}  // namespace gingerdrift::store
