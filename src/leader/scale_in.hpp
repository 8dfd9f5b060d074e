#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cloud/machine_inventory.hpp"
#include "config/settings.hpp"
#include "leader/decision_applier.hpp"
#include "leader/term_context.hpp"
#include "leader/zone_health.hpp"
#include "workers/reconciler.hpp"

namespace gingerdrift::leader {

/// Returns machines to the cloud that have timed out, are unreachable, quarantined or idle.
class scale_in {
 public:
  scale_in(const term_context& context, const zone_health& zones,
           const decision_applier& decisions);

  /// Checks all machines once and releases those to which one of these conditions applies. The
  /// caller must hold a valid leader lease.
  void release_machines();

 private:
  /// A machine without tasks. The machine that has been idle the longest sorts first.
  struct idle_machine {
    time_point idle_since;
    machine_name name;
    friend auto operator<=>(const idle_machine&, const idle_machine&) = default;
  };
  std::optional<cloud::release_reason> release_reason_of(const workers::worker& worker) const;
  bool never_reported(const workers::worker& worker) const;
  bool has_timed_out(const workers::worker& worker) const;
  bool is_unreachable(const workers::worker& worker) const;
  bool is_unoccupied(const workers::worker& worker) const;
  bool is_idle(const workers::worker& worker) const;
  void release_idle(const admission::pool& pool, std::vector<idle_machine> idle);
  bool has_reached_min_rental_time(const machine_name& name) const;

  net::runtime& runtime_;
  const config::platform_settings& platform_;
  const config::operator_settings& operator_settings_;
  workers::reconciler& workers_;
  cloud::machine_inventory& machines_;
  const zone_health& zones_;
  const decision_applier& decisions_;
  const time_point term_start_;
};

}  // namespace gingerdrift::leader
