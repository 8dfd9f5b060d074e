// Runs large fleets in virtual time and checks that no rule is violated and that the requests to
// the store and the cloud stay within their limits. The default number of machines keeps the run
// short enough for CI; GINGERDRIFT_FLEET=MACHINES sets another one.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {

constexpr std::size_t default_fleet_size = 1200;
constexpr std::size_t pools = 4;  // on-demand and spot machines in each of two zones
constexpr std::uint32_t tasks_per_array = 27;
constexpr double max_writes_per_s = 60;
constexpr double max_cloud_calls_per_s = 4;

std::size_t fleet_size() {
  const char* const setting = std::getenv("GINGERDRIFT_FLEET");
  return setting == nullptr ? default_fleet_size : std::stoul(setting);
}

/// Expects the size of values, the operations per transaction and the rate of cloud calls to be
/// within the limits of the store and the cloud.
void expect_within_limits(const sim_service& service) {
  EXPECT_LE(service.state.largest_stored_value_bytes(), 8U << 10);
  EXPECT_LE(service.state.largest_transaction_operations(), 24U);
  EXPECT_LT(static_cast<double>(service.site.cloud.calls()),
            service.net.seconds_now() * max_cloud_calls_per_s);
}

/// Settings whose quotas allow each team to use the whole fleet.
site_parameters large_fleet_shape() {
  site_parameters parameters;
  parameters.heartbeat_s = 6;
  parameters.lease_s = 31;
  parameters.cancel_s = 51;
  parameters.list_lag_s = 5;
  parameters.quota_factor = 4000;
  parameters.scheduling_interval_s = 1;  // roughly the time between cycles in a fleet of this size
  return parameters;
}

template <typename condition>
std::size_t count_machines(const sim_service& service, const condition& holds) {
  const auto& all = service.site.fleet.machines();
  return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [&](const auto& entry) { return holds(*entry.second); }));
}

/// A service with up to `fleet_size()` machines: on-demand and spot machines in two zones.
class large_fleet : public ::testing::Test {
 protected:
  large_fleet() : service(17, 5, large_fleet_shape()), machine_count(fleet_size()) {
    service.site.parameters.capacity = machine_count / pools;
  }
  /// Submits work for one and a half times the number of machines; two tasks fill a machine. Every
  /// 40th job is a gang.
  void submit_work(double run_s) {
    const std::size_t count = machine_count * 3 / tasks_per_array;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string id = job_name(1000 + i);
      const double job_run_s = service.net.uniform(run_s * 0.85, run_s * 1.15);
      sim_job job = array_job(id, tasks_per_array, job_run_s);
      job.gpus = job.cpus = 4;
      if (i % 40 == 0) job = gang_job(id, 4, job_run_s);
      job.team = "blue";
      task_count += job.tasks;
      ++job_count;
      service.site.users.submit_after(from_seconds(service.net.uniform(1, 20)), job);
    }
  }
  std::size_t count_machines_up() const {
    return count_machines(service, [](const sim_machine& machine) { return machine.is_up(); });
  }
  std::size_t count_busy_machines() const {
    return count_machines(service, [](const sim_machine& machine) {
      return machine.is_up() && !machine.tasks().empty();
    });
  }
  /// Cuts the first `max_count` running machines of a zone, by name, off from all controllers for
  /// `span`. Returns these machines.
  std::vector<const sim_machine*> cut_off(const std::string& zone, std::size_t max_count,
                                          duration span) {
    std::vector<const sim_machine*> machines_cut_off;
    for (const auto& [name, machine] : service.site.fleet.machines()) {
      if (machine->zone() != zone || !machine->is_up() || machines_cut_off.size() >= max_count)
        continue;
      service.site.fleet.cut_from_controllers(*machine, span, sim_net::cut_mode::drop);
      machines_cut_off.push_back(machine.get());
    }
    return machines_cut_off;
  }
  /// Runs until all jobs are done. Expects no rule violation, fewer than `starts_allowed` task
  /// starts, and store and cloud requests within their limits.
  void expect_all_served(std::size_t starts_allowed) {
    ASSERT_TRUE(service.run_until_all_finished(seconds(500)));
    EXPECT_EQ(service.violations(), "");
    EXPECT_EQ(service.site.users.count("done"), job_count);
    EXPECT_LT(service.site.fleet.task_starts(), starts_allowed)
        << "only lost tasks are started again";
    const double elapsed_s = service.net.seconds_now();
    EXPECT_LT(static_cast<double>(service.state.writes_admitted()), elapsed_s * max_writes_per_s);
    expect_within_limits(service);
  }

  sim_service service;
  std::size_t machine_count;
  std::size_t task_count = 0;
  std::size_t job_count = 0;
};

}  // namespace

// The fleet grows from no machine until all are in use, and the leader crashes. Then a third of the
// fleet, all in one zone, is cut off for longer than the workers' leases.
TEST_F(large_fleet, survives_a_failover_and_the_isolation_of_most_of_a_zone) {
  submit_work(130);
  auto& net = service.net;
  net.run_for(seconds(75));
  EXPECT_GT(count_machines_up(), machine_count * 3 / 4);
  service.crash_leader_for(milliseconds(300));
  net.run_for(seconds(6));
  ASSERT_TRUE(service.leader().has_value());

  const auto isolated = cut_off("b", machine_count / 3, seconds(45));
  EXPECT_GT(isolated.size(), machine_count / 4);
  net.run_for(seconds(45 + 40));

  const auto returned = std::count_if(isolated.begin(), isolated.end(),
                                      [](const auto* machine) { return machine->is_gone(); });
  const auto busy = std::count_if(isolated.begin(), isolated.end(),
                                  [](const auto* machine) { return !machine->tasks().empty(); });
  EXPECT_LT(static_cast<std::size_t>(returned), isolated.size() / 10)
      << "machines that reconnect are kept, with their images";
  EXPECT_GT(static_cast<std::size_t>(busy), isolated.size() / 2);
  expect_all_served(task_count * 2);
}

// All controllers are down for longer than a worker's lease, so all tasks have ended when they
// return. Then all workers reconnect at once, to any controller that responds.
TEST_F(large_fleet, is_in_use_again_after_all_controllers_were_down) {
  submit_work(80);
  auto& net = service.net;
  net.run_for(seconds(70));

  service.crash_all_for(seconds(45));
  net.run_for(seconds(45 + 75));

  EXPECT_GT(count_busy_machines(), machine_count / 2) << "75 s after the controllers returned";
  expect_all_served(task_count * 5 / 2);
}

// With hundreds of machines and thousands of tasks, the number of requests to the store and the
// cloud grows linearly with the amount of work, not quadratically. The test measures no processing
// time.
TEST(large_workload, calls_and_writes_grow_linearly_with_the_work) {
  site_parameters parameters;
  parameters.heartbeat_s = 5;
  parameters.lease_s = 24;
  parameters.cancel_s = 44;
  parameters.quota_factor = 40;
  sim_service service(11, 5, parameters);
  auto& net = service.net;
  service.site.parameters.capacity = 150;  // per zone and kind: 600 machines in total
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
  EXPECT_LT(service.state.writes_admitted(), tasks) << "fewer than one write per task";
  expect_within_limits(service);
}

namespace {

/// Removes every tenth of the running machines at once.
void lose_a_tenth_of_the_machines(sim_service& service) {
  std::size_t number = 0;
  for (const auto& [name, machine] : service.site.fleet.machines()) {
    if (machine->is_up() && ++number % 10 == 0) machine->vanish();
  }
}

}  // namespace

// Runs one and a half times as many machines as the largest deployment that is specified. The
// leader crashes, then a tenth of the machines is lost at once; the requests to the store and the
// cloud stay bounded.
TEST(large_workload, a_failover_and_a_mass_machine_loss_keep_requests_within_limits) {
  site_parameters parameters;
  parameters.heartbeat_s = 6;
  parameters.lease_s = 31;
  parameters.cancel_s = 51;
  parameters.quota_factor = 2000;
  parameters.scheduling_interval_s = 1;  // roughly the time between cycles in a fleet of this size
  sim_service service(13, 5, parameters);
  auto& net = service.net;
  service.site.parameters.capacity = 525;  // per zone and kind: 2100 machines in total
  std::size_t tasks = 0;
  for (std::size_t i = 0; i < 160; ++i) {
    sim_job job = array_job(job_name(1000 + i), 27, net.uniform(50, 70));
    job.gpus = 4;  // two tasks per machine
    if (i % 40 == 0) job = gang_job(job.id, 4, 60);
    tasks += job.tasks;
    service.site.users.submit_after(from_seconds(net.uniform(1, 20)), job);
  }
  std::size_t machines_up = 0;
  net.after(seconds(75), [&] {
    machines_up =
        count_machines(service, [](const sim_machine& machine) { return machine.is_up(); });
    service.crash_leader_for(milliseconds(300));
  });
  net.after(seconds(80), [&] {
    ASSERT_TRUE(service.leader().has_value());
    lose_a_tenth_of_the_machines(service);
  });

  net.run_for(seconds(81));

  EXPECT_GT(machines_up, 1500U);
  ASSERT_TRUE(service.run_until_all_finished(seconds(400)));
  EXPECT_EQ(service.violations(), "");
  EXPECT_EQ(service.site.users.count("done"), 160U);
  EXPECT_LT(service.site.fleet.task_starts(), tasks * 5 / 4) << "only lost tasks are started again";
  EXPECT_LT(service.state.writes_admitted(), tasks);
  expect_within_limits(service);
}

// When a large pool becomes idle, all but a few of its machines are returned soon, and the
// remaining ones some time later.
TEST(large_workload, most_of_a_large_idle_pool_is_returned_soon) {
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
  EXPECT_LE(fleet.present_machines(), 8U) << "four per pool";
  EXPECT_GE(fleet.present_machines(), 4U);

  net.run_for(seconds(25));
  EXPECT_EQ(fleet.present_machines(), 0U);
  EXPECT_EQ(service.violations(), "");
}

}  // namespace gingerdrift::testing
