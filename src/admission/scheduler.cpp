#include "admission/scheduler.hpp"

#include "admission/cycle_state.hpp"
#include "admission/gang_reservation.hpp"
#include "admission/placement_search.hpp"
#include "admission/preemption.hpp"
#include "admission/scale_out.hpp"
#include "admission/upgrades.hpp"
#include "admission/variant_competition.hpp"

namespace gingerdrift::admission {

decisions scheduler::run_cycle(const snapshot& input) {
  cycle_state cycle(rules_, input, variants_, reservations_);
  placement_search placement(cycle.capacity, cycle.reservations);
  preemption preemptor(cycle, placement);
  gang_reservation(cycle, placement).run();
  variant_competition(cycle, placement, preemptor).run();
  upgrade_planner(cycle, placement).run();
  scale_out_planner(cycle, placement).run();
  contention_.record_refusals(input);
  variants_.set_contested(contention_.contested_by(cycle.jobs, input.now));
  return std::move(cycle.result);
}

}  // namespace gingerdrift::admission
