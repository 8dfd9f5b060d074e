// Tests of the smaller classes that implement a scheduling cycle.
#include <gtest/gtest.h>

#include "admission/failed_searches.hpp"
#include "admission/gang_reservation.hpp"
#include "admission/planned_machines.hpp"
#include "admission/pool_contention.hpp"
#include "admission/reservations.hpp"
#include "support/admission_builders.hpp"

namespace gingerdrift::testing {

using admission::cycle_job;

namespace {

cycle_job job_in_cycle(const admission::job_view& view, admission::job_admission& state) {
  cycle_job job;
  job.view = &view;
  job.admission = &state;
  job.unplaced = view.waiting;
  return job;
}

}  // namespace

TEST(cycle_job, a_one_zone_job_is_allowed_only_in_the_zone_of_its_tasks) {
  auto view = make_job("job");
  view.one_zone = true;
  admission::job_admission state;
  auto job = job_in_cycle(view, state);
  EXPECT_TRUE(job.allows_zone(zone_name("b")));
  ++job.tasks_per_zone[zone_name("a")];
  EXPECT_TRUE(job.allows_zone(zone_name("a")));
  EXPECT_FALSE(job.allows_zone(zone_name("b")));
}

TEST(cycle_job, a_spread_job_has_at_most_half_of_its_tasks_in_a_zone) {
  auto view = make_job("job");
  view.spread = true;
  view.total_tasks = 3;
  admission::job_admission state;
  auto job = job_in_cycle(view, state);
  job.tasks_per_zone[zone_name("a")] = 1;
  EXPECT_TRUE(job.allows_zone(zone_name("a"))) << "half is rounded up";
  job.tasks_per_zone[zone_name("a")] = 2;
  EXPECT_FALSE(job.allows_zone(zone_name("a")));
  EXPECT_TRUE(job.allows_zone(zone_name("b")));
}

TEST(failed_searches, includes_the_same_search_for_as_many_tasks_or_more) {
  const auto view = make_job("job");
  admission::job_admission state;
  const auto search = admission::capacity_search_key(job_in_cycle(view, state), {"g8", "", false});
  admission::failed_searches failed;
  failed.add(search, 2);
  EXPECT_FALSE(failed.includes(search, 1));
  EXPECT_TRUE(failed.includes(search, 2));
  EXPECT_TRUE(failed.includes(search, 3));
  auto other_search = search;
  other_search.guaranteed = true;
  EXPECT_FALSE(failed.includes(other_search, 3));
}

TEST(cycle_reservations, a_reservation_is_restored_in_later_cycles_until_it_expires) {
  admission_fleet fleet;
  fleet.add_machine("m1");
  const job_id job("job");
  const time_point now = fleet.snapshot.now;
  admission::reservations_by_machine stored;
  admission::capacity_index first_capacity(fleet.snapshot);
  admission::cycle_reservations(stored, first_capacity, now, seconds(20)).reserve(0, job);

  admission::capacity_index capacity(fleet.snapshot);
  admission::cycle_reservations later(stored, capacity, now + seconds(19), seconds(20));
  later.restore({job});
  EXPECT_EQ(later.machines_of(job), std::vector<std::size_t>{0});
  ASSERT_NE(capacity.machine(0).reserved_for, nullptr);
  EXPECT_EQ(*capacity.machine(0).reserved_for, job);
  EXPECT_TRUE(capacity.group(0).by_free_capacity.empty())
      << "searches of other jobs don't find the machine";

  admission::capacity_index last_capacity(fleet.snapshot);
  admission::cycle_reservations last(stored, last_capacity, now + seconds(20), seconds(20));
  last.restore({job});
  EXPECT_TRUE(last.machines_of(job).empty());
  EXPECT_EQ(last_capacity.machine(0).reserved_for, nullptr);
}

TEST(cycle_reservations,
     a_reservation_is_dropped_if_its_job_no_longer_waits_or_its_machine_is_missing) {
  admission_fleet fleet;
  fleet.add_machine("m1");
  const time_point now = fleet.snapshot.now;
  const job_id placed("placed");
  const job_id waiting("waiting");
  admission::reservations_by_machine stored{{machine_name("m1"), {placed, now + seconds(20)}},
                                            {machine_name("gone"), {waiting, now + seconds(20)}}};
  admission::capacity_index capacity(fleet.snapshot);
  admission::cycle_reservations reservations(stored, capacity, now, seconds(20));
  reservations.restore({waiting});
  EXPECT_TRUE(stored.empty());
  EXPECT_TRUE(reservations.count_by_pool().empty());
}

// Holds no matter which zone the first variant of the gang is for. If machines were reserved in two
// zones, they would all be idle, because the gang needs all of them in one zone.
TEST(gang_reservation, a_gang_reserves_further_machines_only_in_the_zone_of_its_reservations) {
  for (const bool reserved_in_a : {true, false}) {
    const std::string reserved_zone = reserved_in_a ? "a" : "b";
    const std::string larger_zone = reserved_in_a ? "b" : "a";
    admission_fleet fleet;
    fleet.add_machine("begun", reserved_zone);
    fleet.add_machine("other_1", larger_zone);
    fleet.add_machine("other_2", larger_zone);
    admission::policy rules;
    rules.gang_reservation_share = 1;
    const time_point now = fleet.snapshot.now;
    const auto gang = make_gang_of_whole_machines("gang", 3, now - rules.gang_reservation_delay);
    fleet.snapshot.jobs.push_back(std::make_shared<const admission::job_view>(gang));
    admission::reservations_by_machine stored{
        {machine_name("begun"), {gang.id, now + milliseconds(1)}}};

    admission::variant_table variants(rules);
    admission::cycle_state cycle(rules, fleet.snapshot, variants, stored);
    admission::placement_search placement(cycle.capacity, cycle.reservations);
    admission::gang_reservation(cycle, placement).run();
    ASSERT_EQ(stored.size(), 1U) << "machines of the zone " << larger_zone << " were reserved too";
    EXPECT_EQ(stored.begin()->first, machine_name("begun"));
    EXPECT_EQ(stored.begin()->second.until, now + rules.reservation_ttl) << "renewed";
  }
}

TEST(pool_contention, a_pool_that_jobs_wait_for_is_contested_while_all_zones_refuse_machines) {
  admission_fleet fleet;
  auto view = make_job("job");
  view.level = admission::priority::high;
  admission::job_admission state;
  state.variants.push_back({admission_fleet::pool_in(""), 0, 0, true});
  const std::vector<cycle_job> jobs{job_in_cycle(view, state)};
  const time_point now = fleet.snapshot.now;
  admission::pool_contention contention(seconds(45));

  fleet.snapshot.refused_pools = {admission_fleet::pool_in("a")};
  contention.record_refusals(fleet.snapshot);
  EXPECT_TRUE(contention.contested_by(jobs, now).empty()) << "zone b can still scale out";

  fleet.snapshot.refused_pools.insert(admission_fleet::pool_in("b"));
  contention.record_refusals(fleet.snapshot);
  const admission::contested_pools expected{{{"g8", false}, admission::priority::high}};
  EXPECT_EQ(contention.contested_by(jobs, now + seconds(44)), expected);
  EXPECT_TRUE(contention.contested_by(jobs, now + seconds(45)).empty());
}

TEST(planned_machines, tasks_are_packed_on_the_fullest_machines_up_to_the_team_limit) {
  const std::vector<admission::team_view> teams{{"red", 0, 0, 0, /*gpus_max=*/3}};
  admission::quota_ledger quota(teams);
  std::set<machine_name> needed_machines;
  admission::planned_machines planned(quota, needed_machines);
  planned.add(admission_fleet::pool_in("a"), admission_fleet::size(), machine_name("empty"));
  planned.add(admission_fleet::pool_in("a"), {16, 2, 96}, machine_name("fullest"));
  const auto view = make_job("job");
  admission::job_admission state;
  auto job = job_in_cycle(view, state);

  EXPECT_EQ(planned.count_candidates(admission_fleet::pool_in("a"), view.need, 8), 2U);
  EXPECT_EQ(planned.pack(job, admission_fleet::pool_in(""), 2), 2U);
  EXPECT_EQ(needed_machines, std::set<machine_name>{machine_name("fullest")});
  EXPECT_EQ(planned.pack(job, admission_fleet::pool_in(""), 2), 1U) << "three GPUs at most";
  EXPECT_EQ(job.tasks_per_zone[zone_name("a")], 3U);
}

}  // namespace gingerdrift::testing
