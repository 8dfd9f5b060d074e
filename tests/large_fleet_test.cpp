// Large fleets in virtual time: the rules hold, and what is asked of the store and the cloud stays
// within the limits. Played with a fleet that CI has time for; GINGERDRIFT_FLEET=MACHINES plays
// others.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {

constexpr std::size_t default_machines = 1200;
constexpr std::size_t pools = 4;  // two zones, ordinary and spot
constexpr std::uint32_t tasks_of_an_array = 27;
constexpr double writes_per_s = 60;
constexpr double cloud_calls_per_s = 4;

std::size_t fleet_size() {
  const char* const setting = std::getenv("GINGERDRIFT_FLEET");
  return setting == nullptr ? default_machines : std::stoul(setting);
}

/// The requests to the store and the cloud stay within their limits.
void expect_within_limits(const sim_service& service) {
  EXPECT_LE(service.state.largest_stored_value_bytes(), 8U << 10);
  EXPECT_LE(service.state.largest_transaction_operations(), 24U);
  EXPECT_LT(static_cast<double>(service.site.cloud.calls()),
            service.net.seconds_now() * cloud_calls_per_s);
}

/// Quotas that leave the whole fleet to each team.
site_parameters large_site() {
  site_parameters parameters;
  parameters.heartbeat_s = 6;
  parameters.lease_s = 31;
  parameters.cancel_s = 51;
  parameters.list_lag_s = 5;
  parameters.quota_factor = 4000;
  parameters.scheduling_interval_s = 1;  // about what a cycle over so many machines is spaced by
  return parameters;
}

template <typename condition>
std::size_t count_machines(const sim_service& service, const condition& holds) {
  const auto& all = service.site.fleet.machines();
  return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [&](const auto& entry) { return holds(*entry.second); }));
}

/// Two zones, ordinary and spot machines; as many as `fleet_size` says.
class large_fleet : public ::testing::Test {
 protected:
  large_fleet() : service(17, 5, large_site()), machines(fleet_size()) {
    service.site.parameters.capacity = machines / pools;
  }
  /// Two tasks fill a machine; there is work for half as many machines again. Each 40th job is a
  /// gang.
  void submit_work(double run_s) {
    const std::size_t count = machines * 3 / tasks_of_an_array;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string id = job_name(1000 + i);
      const double job_run_s = service.net.uniform(run_s * 0.85, run_s * 1.15);
      sim_job job = array_job(id, tasks_of_an_array, job_run_s);
      job.gpus = job.cpus = 4;
      if (i % 40 == 0) job = gang_job(id, 4, job_run_s);
      job.team = "blue";
      tasks += job.tasks;
      ++jobs;
      service.site.users.submit_after(from_seconds(service.net.uniform(1, 20)), job);
    }
  }
  std::size_t machines_up() const {
    return count_machines(service, [](const sim_machine& machine) { return machine.is_up(); });
  }
  std::size_t busy_machines() const {
    return count_machines(service, [](const sim_machine& machine) {
      return machine.is_up() && !machine.tasks().empty();
    });
  }
  /// Cuts machines of a zone off from all controllers: the first ones by name, at most that many.
  std::vector<const sim_machine*> cut_off(const std::string& zone, std::size_t most,
                                          duration span) {
    std::vector<const sim_machine*> machines_cut_off;
    for (const auto& [name, machine] : service.site.fleet.machines()) {
      if (machine->zone() != zone || !machine->is_up() || machines_cut_off.size() >= most) continue;
      service.site.fleet.cut_from_controllers(*machine, span, sim_net::cut_mode::drop);
      machines_cut_off.push_back(machine.get());
    }
    return machines_cut_off;
  }
  void expect_all_served(std::size_t starts_allowed) {
    ASSERT_TRUE(service.run_until_all_finished(seconds(500)));
    EXPECT_EQ(service.violations(), "");
    EXPECT_EQ(service.site.users.count("done"), jobs);
    EXPECT_LT(service.site.fleet.task_starts(), starts_allowed)
        << "only what was lost is started again";
    const double elapsed_s = service.net.seconds_now();
    EXPECT_LT(static_cast<double>(service.state.writes_admitted()), elapsed_s * writes_per_s);
    expect_within_limits(service);
  }

  sim_service service;
  std::size_t machines;
  std::size_t tasks = 0;
  std::size_t jobs = 0;
};

}  // namespace

// From nothing to all machines in use; the leader crashes; then a third of the fleet, one zone's,
// is cut off for longer than its leases.
TEST_F(large_fleet, rises_changes_its_leader_and_loses_most_of_a_zone) {
  submit_work(130);
  auto& net = service.net;
  net.run_for(seconds(75));
  EXPECT_GT(machines_up(), machines * 3 / 4);
  service.crash_leader_for(milliseconds(300));
  net.run_for(seconds(6));
  ASSERT_TRUE(service.leader().has_value());

  const auto lost = cut_off("b", machines / 3, seconds(45));
  EXPECT_GT(lost.size(), machines / 4);
  net.run_for(seconds(45 + 40));

  const auto returned = std::count_if(lost.begin(), lost.end(),
                                      [](const auto* machine) { return machine->is_gone(); });
  const auto busy = std::count_if(lost.begin(), lost.end(),
                                  [](const auto* machine) { return !machine->tasks().empty(); });
  EXPECT_LT(static_cast<std::size_t>(returned), lost.size() / 10)
      << "they are back, with their images";
  EXPECT_GT(static_cast<std::size_t>(busy), lost.size() / 2);
  expect_all_served(tasks * 2);
}

// Every controller is away for longer than a lease. All tasks are over by then; all workers come
// back at once, to whichever controller answers.
TEST_F(large_fleet, is_in_use_again_after_all_controllers_were_away) {
  submit_work(80);
  auto& net = service.net;
  net.run_for(seconds(70));

  service.crash_all_for(seconds(45));
  net.run_for(seconds(45 + 75));

  EXPECT_GT(busy_machines(), machines / 2) << "faults have been over for 75 s";
  expect_all_served(tasks * 5 / 2);
}

// A fleet of hundreds of machines and thousands of tasks: what is asked of the store and the cloud
// follows the work and not its square. No time is measured.
TEST(large_workload, calls_and_writes_follow_the_work) {
  site_parameters parameters;
  parameters.heartbeat_s = 5;
  parameters.lease_s = 24;
  parameters.cancel_s = 44;
  parameters.quota_factor = 40;
  sim_service service(11, 5, parameters);
  auto& net = service.net;
  service.site.parameters.capacity = 150;  // of each zone and kind: 600 machines
  std::size_t tasks = 0;
  for (std::size_t i = 0; i < 120; ++i) {
    sim_job job = array_job(job_name(1000 + i), 50, net.uniform(20, 40));
    if (i % 4 == 0) job = gang_job(job.id, static_cast<std::uint32_t>(1 + i % 3), 30);
    job.team = i % 2 == 0 ? "red" : "blue";
    tasks += job.tasks;
    service.site.users.submit_after(from_seconds(net.uniform(1, 40)), job);
  }

  net.run_for(seconds(41));

  ASSERT_TRUE(service.run_until_all_finished(seconds(600)));
  EXPECT_EQ(service.violations(), "");
  EXPECT_GE(service.site.fleet.task_starts(), tasks);
  EXPECT_LT(service.state.writes_admitted(), tasks) << "less than a write for each task";
  expect_within_limits(service);
}

namespace {

/// Every tenth of the machines that are up is lost at once.
void lose_a_tenth_of_the_machines(sim_service& service) {
  std::size_t number = 0;
  for (const auto& [name, machine] : service.site.fleet.machines()) {
    if (machine->is_up() && ++number % 10 == 0) machine->vanish();
  }
}

}  // namespace

// Half again as many machines as the largest deployment named: the leader crashes, a tenth of the
// machines is lost at once, and the requests to store and cloud are bounded all the same.
TEST(large_workload, a_failover_and_a_mass_loss_among_two_thousand_machines) {
  site_parameters parameters;
  parameters.heartbeat_s = 6;
  parameters.lease_s = 31;
  parameters.cancel_s = 51;
  parameters.quota_factor = 2000;
  parameters.scheduling_interval_s = 1;  // about what a cycle over so many machines is spaced by
  sim_service service(13, 5, parameters);
  auto& net = service.net;
  service.site.parameters.capacity = 525;  // of each zone and kind: 2100 machines
  std::size_t tasks = 0;
  for (std::size_t i = 0; i < 160; ++i) {
    sim_job job = array_job(job_name(1000 + i), 27, net.uniform(50, 70));
    job.gpus = 4;  // two on a machine
    if (i % 40 == 0) job = gang_job(job.id, 4, 60);
    tasks += job.tasks;
    service.site.users.submit_after(from_seconds(net.uniform(1, 20)), job);
  }
  std::size_t up = 0;
  net.after(seconds(75), [&] {
    up = count_machines(service, [](const sim_machine& machine) { return machine.is_up(); });
    service.crash_leader_for(milliseconds(300));
  });
  net.after(seconds(80), [&] {
    ASSERT_TRUE(service.leader().has_value());
    lose_a_tenth_of_the_machines(service);
  });

  net.run_for(seconds(81));

  EXPECT_GT(up, 1500U);
  ASSERT_TRUE(service.run_until_all_finished(seconds(400)));
  EXPECT_EQ(service.violations(), "");
  EXPECT_EQ(service.site.users.count("done"), 160U);
  EXPECT_LT(service.site.fleet.task_starts(), tasks * 5 / 4)
      << "only what was lost is started again";
  EXPECT_LT(service.state.writes_admitted(), tasks);
  expect_within_limits(service);
}

// A large pool falls idle: all but a few of its machines go back soon, those few a while later.
TEST(large_workload, most_of_a_large_pool_that_fell_idle_is_returned_soon) {
  site_parameters parameters;
  parameters.quota_factor = 40;
  sim_service service(12, 3, parameters);
  auto& net = service.net;
  const auto& fleet = service.site.fleet;
  service.site.parameters.capacity = 40;
  for (std::size_t i = 0; i < 6; ++i)
    service.site.users.submit_after(seconds(1), array_job(job_name(i), 80, 70));

  net.run_for(seconds(60));
  EXPECT_GE(fleet.present_machines(), 60U);
  ASSERT_TRUE(service.run_until_all_finished(seconds(200)));

  net.run_for(seconds(16));
  EXPECT_LE(fleet.present_machines(), 8U) << "four of each pool";
  EXPECT_GE(fleet.present_machines(), 4U);

  net.run_for(seconds(25));
  EXPECT_EQ(fleet.present_machines(), 0U);
  EXPECT_EQ(service.violations(), "");
}

}  // namespace gingerdrift::testing
