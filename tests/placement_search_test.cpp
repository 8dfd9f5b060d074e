#include "admission/placement_search.hpp"

#include <gtest/gtest.h>

#include "support/admission_builders.hpp"

namespace gingerdrift::testing {

using admission::capacity_index;
using admission::cycle_job;

/// Fixture that searches a small fleet for machines for one job. Tests first add machines and
/// adjust the job, then call index_machines().
class placement_search_test : public ::testing::Test {
 protected:
  void index_machines() {
    capacity.emplace(fleet.snapshot);
    reservations.emplace(stored, *capacity, fleet.snapshot.now, seconds(20));
    search.emplace(*capacity, *reservations);
    job.view = &view;
  }
  /// Returns the name of the best machine in the zone; empty if no machine fits.
  std::string best_fit(const std::string& zone = "a") {
    const auto machine = search->best_fit(job, admission_fleet::pool_in(zone));
    return machine == capacity_index::no_machine ? "" : capacity->machine(machine).view->name.str();
  }
  std::size_t index_of(const std::string& name) { return capacity->find(machine_name(name)); }

  admission_fleet fleet;
  admission::job_view view = make_job("job");
  cycle_job job;
  admission::reservations_by_machine stored;
  std::optional<capacity_index> capacity;
  std::optional<admission::cycle_reservations> reservations;
  std::optional<admission::placement_search> search;
};

TEST_F(placement_search_test, the_fullest_machine_in_use_is_best) {
  fleet.add_machine("empty");
  fleet.add_machine("half_full").free.gpus = 4;
  fleet.add_machine("fullest").free.gpus = 1;
  fleet.add_machine("full").free.gpus = 0;
  index_machines();
  EXPECT_EQ(best_fit(), "fullest");
}

TEST_F(placement_search_test, a_machine_in_use_with_the_image_is_preferred_to_a_fuller_one) {
  fleet.add_machine("fullest").free.gpus = 1;
  auto& with_image = fleet.add_machine("with_image");
  with_image.free.gpus = 4;
  with_image.images = {"image"};
  index_machines();
  EXPECT_EQ(best_fit(), "with_image");
}

TEST_F(placement_search_test, a_machine_in_use_is_preferred_to_an_empty_one_with_the_image) {
  fleet.add_machine("empty_with_image").images = {"image"};
  fleet.add_machine("in_use").free.gpus = 4;
  index_machines();
  EXPECT_EQ(best_fit(), "in_use");
}

TEST_F(placement_search_test, of_empty_machines_the_one_with_the_image_is_best) {
  fleet.add_machine("empty");
  fleet.add_machine("empty_with_image").images = {"image"};
  index_machines();
  EXPECT_EQ(best_fit(), "empty_with_image");
}

TEST_F(placement_search_test, a_machine_reserved_for_the_job_is_preferred) {
  fleet.add_machine("fullest").free.gpus = 1;
  fleet.add_machine("reserved");
  index_machines();
  reservations->reserve(index_of("reserved"), view.id);
  EXPECT_EQ(best_fit(), "reserved");
}

TEST_F(placement_search_test, a_machine_reserved_for_another_job_is_not_usable) {
  fleet.add_machine("reserved").images = {"image"};
  index_machines();
  const job_id other("other");
  reservations->reserve(index_of("reserved"), other);
  EXPECT_FALSE(search->is_usable(index_of("reserved"), job));
  EXPECT_EQ(best_fit(), "");
  EXPECT_TRUE(search->machines_with_capacity(job, admission_fleet::pool_in("a"), 1).empty());
}

TEST_F(placement_search_test, a_machine_that_the_job_failed_on_is_not_usable) {
  fleet.add_machine("failed_on");
  view.excluded_machines.insert(machine_name("failed_on"));
  index_machines();
  EXPECT_EQ(best_fit(), "");
  EXPECT_FALSE(search->is_unrestricted(job));
}

TEST_F(placement_search_test, a_machine_that_accepts_no_tasks_is_not_usable) {
  fleet.add_machine("starting").ready = false;
  index_machines();
  EXPECT_EQ(best_fit(), "");
}

TEST_F(placement_search_test, a_target_without_zone_covers_all_zones) {
  fleet.add_machine("in_b", "b");
  index_machines();
  EXPECT_EQ(best_fit("a"), "");
  EXPECT_EQ(best_fit(""), "in_b");
}

TEST_F(placement_search_test, machines_with_room_lists_reserved_ones_first_up_to_the_limit) {
  fleet.add_machine("fullest").free.gpus = 1;
  fleet.add_machine("next").free.gpus = 2;
  fleet.add_machine("reserved");
  index_machines();
  reservations->reserve(index_of("reserved"), view.id);
  const std::vector<std::size_t> expected{index_of("reserved"), index_of("fullest")};
  EXPECT_EQ(search->machines_with_capacity(job, admission_fleet::pool_in("a"), 2), expected);
}

}  // namespace gingerdrift::testing
