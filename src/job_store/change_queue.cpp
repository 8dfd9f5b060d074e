#include "job_store/change_queue.hpp"

namespace gingerdrift::job_store {

namespace {
/// Maximum time for which urgent changes hold back a deferrable change.
constexpr duration max_deferrable_delay = seconds(3);
}  // namespace

void change_queue::add_urgent(const unit_id& unit) {
  if (urgent_units_.insert(unit).second) urgent_.push_back(unit);
}

void change_queue::add_deferrable(const unit_id& unit, time_point now) {
  if (urgent_units_.count(unit) != 0) return;
  if (deferrable_units_.insert(unit).second) deferrable_.push_back({unit, now});
}

void change_queue::requeue_urgent(const unit_id& unit) {
  if (urgent_units_.insert(unit).second) urgent_.push_front(unit);
}

void change_queue::requeue_deferrable(const unit_id& unit) {
  if (urgent_units_.count(unit) != 0) return;
  if (deferrable_units_.insert(unit).second) deferrable_.push_front({unit, time_point{}});
}

std::optional<unit_id> change_queue::pop_urgent() {
  if (urgent_.empty()) return std::nullopt;
  const unit_id unit = urgent_.front();
  urgent_.pop_front();
  urgent_units_.erase(unit);
  // The write of the unit also covers its deferrable changes.
  deferrable_units_.erase(unit);
  return unit;
}

bool change_queue::has_waited_long_enough(const deferrable_change& first, time_point now) const {
  return now - first.since >= (urgent_.empty() ? deferrable_delay : max_deferrable_delay);
}

std::optional<unit_id> change_queue::pop_due_deferrable(time_point now) {
  while (!deferrable_.empty()) {
    const deferrable_change first = deferrable_.front();
    const bool still_waits = deferrable_units_.count(first.unit) != 0;
    if (still_waits && !has_waited_long_enough(first, now)) return std::nullopt;
    deferrable_.pop_front();
    if (!still_waits) continue;
    deferrable_units_.erase(first.unit);
    return first.unit;
  }
  return std::nullopt;
}

bool change_queue::has_due_changes(time_point now) const {
  if (!urgent_.empty()) return true;
  return !deferrable_.empty() && has_waited_long_enough(deferrable_.front(), now);
}

}  // namespace gingerdrift::job_store
