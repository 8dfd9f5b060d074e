#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "base/time.hpp"
#include "job_store/record_keys.hpp"

namespace gingerdrift::job_store {

/// Whether a user or a worker waits for a change to be stored.
enum class write_urgency : std::uint8_t {
  urgent,
  deferrable,  // may wait a little, for more changes of the same record
};

/// Units that changed and wait to be written, each at most once: urgent ones, for which a user or
/// a worker waits, and progress, which waits a little for more changes of the same unit. An array's
/// tasks end one by one, and a write for each would use up the store's limit.
class change_queue {
 public:
  /// How long progress waits for more changes of the same unit.
  static constexpr duration progress_delay = milliseconds(400);

  void add_urgent(const unit_id& unit);
  void add_progress(const unit_id& unit, time_point now);
  /// Units whose write failed come first again.
  void put_back_urgent(const unit_id& unit);
  void put_back_progress(const unit_id& unit);

  std::optional<unit_id> next_urgent();
  /// The next progress that has waited long enough.
  std::optional<unit_id> next_progress(time_point now);

  /// Whether anything may be written now.
  bool due(time_point now) const;
  bool empty() const { return urgent_.empty() && progress_.empty(); }
  std::size_t size() const { return urgent_units_.size() + progress_units_.size(); }

 private:
  /// Progress since the time at which it was queued.
  struct queued_progress {
    unit_id unit;
    time_point since;
  };
  bool waited_enough(const queued_progress& first, time_point now) const;

  std::deque<unit_id> urgent_;
  std::deque<queued_progress> progress_;  // also of units that went with an urgent change
  std::set<unit_id> urgent_units_;
  std::set<unit_id> progress_units_;
};

}  // namespace gingerdrift::job_store
