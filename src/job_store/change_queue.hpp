#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "base/time.hpp"
#include "job_store/record_keys.hpp"

namespace gingerdrift::job_store {

/// Urgency of storing a change.
enum class write_urgency : std::uint8_t {
  urgent,      // a user or a worker waits for the change
  deferrable,  // delayed for a short time so that one write covers several changes of the unit
};

/// Queue of changed units that are not written yet. Each unit is returned once, no matter how often
/// it was added.
///
/// Urgent units, for which a user or a worker waits, come first. Deferrable units are held back for
/// a short time so that one write covers several changes of the unit: the tasks of an array end one
/// by one, and a write for each would use up the store's write limit.
class change_queue {
 public:
  /// Time for which a deferrable change waits for further changes of the same unit.
  static constexpr duration deferrable_delay = milliseconds(400);

  void add_urgent(const unit_id& unit);
  void add_deferrable(const unit_id& unit, time_point now);
  /// Puts a unit whose write failed back at the front of its queue.
  void requeue_urgent(const unit_id& unit);
  void requeue_deferrable(const unit_id& unit);

  /// Removes and returns the first urgent unit. The write of the unit also covers its deferrable
  /// changes, so these are removed too.
  std::optional<unit_id> pop_urgent();
  /// Removes and returns the first deferrable unit whose delay has passed; nothing if there is
  /// none.
  std::optional<unit_id> pop_due_deferrable(time_point now);

  /// Reports whether any change is ready to be written.
  bool has_due_changes(time_point now) const;
  bool empty() const { return urgent_.empty() && deferrable_.empty(); }
  std::size_t size() const { return urgent_units_.size() + deferrable_units_.size(); }

 private:
  /// A deferrable unit and the time at which it was queued.
  struct deferrable_change {
    unit_id unit;
    time_point since;
  };
  bool has_waited_long_enough(const deferrable_change& first, time_point now) const;

  std::deque<unit_id> urgent_;
  std::deque<deferrable_change> deferrable_;  // may contain units that were returned as urgent
  std::set<unit_id> urgent_units_;
  std::set<unit_id> deferrable_units_;
};

}  // namespace gingerdrift::job_store
