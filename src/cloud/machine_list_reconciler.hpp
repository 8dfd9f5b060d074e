#pragma once

#include <optional>
#include <set>

#include "cloud/cloud_client.hpp"
#include "cloud/machine_table.hpp"
#include "cloud/options.hpp"
#include "cloud/release_queue.hpp"

namespace gingerdrift::cloud {

/// Reads the cloud's list of machines, page by page, and reconciles the machine table with it.
///
/// Enforces the rule that a machine counts as terminated only on proof: if the list shows it as
/// failed, or if it is absent from the lists for longer than a list can be out of date.
class machine_list_reconciler {
 public:
  /// `list_lag` is the nominal age of the cloud's list; a list may be up to twice as old. `hooks`
  /// must outlive the reconciler.
  machine_list_reconciler(cloud_client& client, machine_table& machines, release_queue& releases,
                          duration list_lag, const inventory_hooks& hooks);

  /// Requests a page if one is due and the rate budget allows it.
  void read_if_due();

 private:
  /// State of the list that is being read.
  struct listing {
    std::set<machine_name> seen;
    time_point started;
    machine_name last_name;  // last machine received; the next page starts after it
    std::size_t page_count = 0;
    bool in_flight = false;
  };
  bool is_page_due() const;
  void read_page();
  void handle_page_response(const net::response& response);
  void reconcile(const listed_machine& listed);
  void mark_failed(machine& entry);
  void complete_list();
  bool is_proven_terminated(const machine& entry) const;
  duration list_interval(std::size_t page_count) const;

  cloud_client& client_;
  machine_table& machines_;
  release_queue& releases_;
  duration min_absence_;  // for a listed machine to count as terminated
  const inventory_hooks& hooks_;
  time_point next_list_{};
  std::optional<listing> listing_;
};

}  // namespace gingerdrift::cloud
