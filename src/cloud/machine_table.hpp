#pragma once

#include <map>
#include <string>

#include "admission/types.hpp"
#include "cloud/codec.hpp"

namespace gingerdrift::cloud {

/// A rented machine, as known from the cloud's lists and from the heartbeats of its worker.
struct machine {
  machine_name name;
  admission::pool pool;
  machine_status status = machine_status::starting;
  time_point rental_start{};  // by this controller's clock
  bool ever_listed = false;   // whether any list has contained the machine
  /// When reading of the first list without the machine began; zero while the latest list has it.
  time_point missing_since{};
  bool releasing = false;         // queued for its return, which the cloud has not confirmed
  bool rented_in_term = false;    // rented in this leadership term
  bool reported_in_term = false;  // its worker has sent a heartbeat in this leadership term
  time_point running_since{};     // when first listed as running; zero: not yet
};

/// The rented machines, and the names of those that were removed recently.
///
/// The cloud never reuses a name. Callers check was_removed(), so that an outdated list or a
/// delayed heartbeat does not add a terminated machine again.
class machine_table {
 public:
  /// Result of find_or_add().
  struct insertion {
    machine& entry;
    bool is_new;
  };
  /// Returns the machine with that name and adds it if there is none. `rental_start` is stored only
  /// for an added machine.
  insertion find_or_add(const machine_name& name, time_point rental_start);
  /// Returns null if there is no such machine.
  machine* find(const machine_name& name);
  const machine* find(const machine_name& name) const;
  /// Removes a machine that has definitely terminated, and keeps its name for was_removed().
  void remove(const machine_name& name, time_point now);
  /// Reports whether the machine was removed and its name has not expired since.
  bool was_removed(const machine_name& name) const { return removed_.count(name) != 0; }
  /// Discards the names of machines that were removed so long ago that they no longer appear in any
  /// list or heartbeat.
  void expire_removed(time_point now);
  /// All machines that have not been removed.
  const std::map<machine_name, machine>& all() const { return machines_; }
  std::map<machine_name, machine>& all() { return machines_; }

 private:
  std::map<machine_name, machine> machines_;
  std::map<machine_name, time_point> removed_;  // with the time of the removal
};

}  // namespace gingerdrift::cloud
