#pragma once

#include <optional>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

/// Follows from the outside which controller leads, and counts changes as the
/// fact "leader_changes".
class leader_tracker {
 public:
  explicit leader_tracker(sim_service& service) : service_(service) { check(); }
  /// The controller that led last, also while none does.
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
