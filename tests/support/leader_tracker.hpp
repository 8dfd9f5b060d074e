#pragma once

#include <optional>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

/// Polls the controllers in virtual time for the current leader and counts leader changes in the
/// event count "leader_changes".
class leader_tracker {
 public:
  explicit leader_tracker(sim_service& service) : service_(service) { check(); }
  /// Returns the most recent leader, even if there is none at present; empty before the first
  /// election.
  const std::optional<std::size_t>& last_leader() const { return last_leader_; }

 private:
  void check() {
    service_.net.after(milliseconds(20), [this] { check(); });
    const auto leader = service_.leader();
    if (leader && leader != last_leader_) ++service_.site.event_counts["leader_changes"];
    if (leader) last_leader_ = leader;
  }

  sim_service& service_;
  std::optional<std::size_t> last_leader_;
};

}  // namespace gingerdrift::testing
