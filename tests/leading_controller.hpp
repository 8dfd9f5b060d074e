#pragma once

#include <memory>
#include <string>

#include "leader/leader_term.hpp"
#include "leader_parts.hpp"
#include "leadership/leader_elector.hpp"

namespace gingerdrift::testing {

/// Fixture with the leader elector of the controller `node-0` and the leader term that runs while
/// it leads.
class leading_controller : public leader_parts {
 protected:
  /// Lets the elector win the election and the term read the records of the empty store.
  void become_leader() {
    elector.start();
    net.run_for(seconds(1));
    ASSERT_TRUE(elector.lease_valid());
    ASSERT_TRUE(term != nullptr && term->ready());
  }
  void begin_term() {
    term = std::make_unique<leader::leader_term>(
        leader::term_environment{.runtime = runtime,
                                 .store = store,
                                 .executor = executor,
                                 .platform = platform,
                                 .operator_settings = operator_settings,
                                 .controller_metrics = measured},
        token, kvstore::condition{"gd/leader", {}}, types(),
        leader::leader_term::callbacks{
            .deposed = [] {},
            .lease_valid = [this] { return elector.lease_valid(); },
            .finished = [](const job_id&, const job_store::terminal_state&) {},
            .cached_terminal_state = [](const job_id&) -> std::optional<job_store::terminal_state> {
              return std::nullopt;
            }});
    term->start();
  }

  leadership::leader_elector elector{
      runtime,
      store,
      {.node = "node-0", .lease_duration = seconds(4), .renewal_grace = seconds(5)},
      1,
      {.elected = [this](fencing_token, const kvstore::condition&) { begin_term(); },
       .stepped_down = [this] { term.reset(); }}};
  std::unique_ptr<leader::leader_term> term;  // null unless the elector is leader
};

}  // namespace gingerdrift::testing
