#pragma once

#include <queue>

#include "admission/cycle_state.hpp"
#include "admission/failed_searches.hpp"
#include "admission/placement_search.hpp"
#include "admission/preemption.hpp"

namespace gingerdrift::admission {

/// Lets the variants of all waiting jobs compete for capacity. Each team has a queue of variants,
/// ordered by priority, age and rank. In each round, the first variant of each team is tried, and
/// only in its own pool.
class variant_competition {
 public:
  variant_competition(cycle_state& cycle, placement_search& placement, preemption& preemptor)
      : cycle_(cycle), placement_(placement), preemption_(preemptor) {}

  /// Runs rounds until no queue contains a variant of a job with unplaced tasks.
  void run();

 private:
  /// A variant of a job; both are identified by their index.
  struct queue_entry {
    std::size_t job;
    std::size_t variant;
  };
  /// Comparison for the heap of a queue: the variant that is tried later compares as less.
  struct comes_later {
    const std::vector<cycle_job>* jobs;
    bool operator()(const queue_entry& left, const queue_entry& right) const;
  };
  using team_queue = std::priority_queue<queue_entry, std::vector<queue_entry>, comes_later>;
  /// Order in which the first variants of all queues are tried: first those whose tasks are within
  /// the guarantee of their team, then by priority and age.
  struct head_order {
    bool beyond_guarantee;
    int negated_priority;
    std::int64_t created_ms;
    auto operator<=>(const head_order&) const = default;
  };
  enum class placement_outcome : std::uint8_t { complete, no_capacity, limit_reached };

  std::vector<team_queue> fill_queues() const;
  std::vector<queue_entry> pop_heads(std::vector<team_queue>& queues) const;
  head_order order_of(const queue_entry& head) const;
  void try_variant(cycle_job& job, const variant& candidate);
  bool preempt_in_tier(cycle_job& job, std::uint32_t tier);
  bool admit(cycle_job& job, const pool& target);
  placement_outcome place_gang(cycle_job& job, const pool& target);
  placement_outcome place_array(cycle_job& job, const pool& target);
  std::size_t next_machine(const cycle_job& job, const pool& target, std::size_t last);
  void start(cycle_job& job, std::size_t machine, std::uint32_t task);

  cycle_state& cycle_;
  placement_search& placement_;
  preemption& preemption_;
  failed_searches failed_capacity_searches_;
};

}  // namespace gingerdrift::admission
