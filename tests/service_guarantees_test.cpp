// Tests the guarantees to users and workers while machines, links or controllers fail. The
// scenarios run in virtual time and are deterministic for a given seed. The simulated store
// enforces its request and write limits.
#include <gtest/gtest.h>

#include <algorithm>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {

/// Submits gangs of one or two members and arrays of `array_tasks` tasks at random times within
/// `span`. The job ids start at run-100.
void submit_mixed(sim_service& service, std::size_t count, std::uint32_t array_tasks,
                  duration span) {
  auto& net = service.net;
  for (std::size_t i = 0; i < count; ++i) {
    const double run_s = net.uniform(5, 25);
    const auto members = static_cast<std::uint32_t>(1 + i % 2);
    const sim_job job = i % 3 == 0 ? gang_job(job_name(100 + i), members, run_s)
                                   : array_job(job_name(100 + i), array_tasks, run_s);
    service.site.users.submit_after(from_seconds(net.uniform(0, to_seconds(span))), job);
  }
}

/// Returns the first `max_count` running machines, by name.
std::vector<const sim_machine*> first_machines_up(const sim_service& service,
                                                  std::size_t max_count) {
  std::vector<const sim_machine*> machines;
  for (const auto& [name, machine] : service.site.fleet.machines()) {
    if (machine->is_up() && machines.size() < max_count) machines.push_back(machine.get());
  }
  return machines;
}

}  // namespace

/// Service scenarios with the seed as the test parameter.
class service_guarantees : public ::testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(seeds, service_guarantees, ::testing::Values(1, 2, 3, 4),
                         ::testing::PrintToStringParamName());

TEST_P(service_guarantees,
       machines_that_receive_no_commands_are_replaced_and_late_heartbeats_have_no_effect) {
  sim_service service(GetParam(), 5);
  auto& net = service.net;
  net.copy_late("/v1/report", 0.2, seconds(25));  // four times a worker's lease
  submit_mixed(service, 24, 6, seconds(60));
  std::vector<const sim_machine*> unreachable;
  net.after(seconds(25), [&] {
    unreachable = first_machines_up(service, 3);
    for (const auto* machine : unreachable)
      service.site.fleet.cut_commands_to(*machine, seconds(60));
  });
  net.after(seconds(40), [&] { service.crash_leader_for(milliseconds(200)); });

  net.run_for(seconds(80));

  ASSERT_EQ(unreachable.size(), 3U);
  for (const auto* machine : unreachable) EXPECT_TRUE(machine->is_gone()) << machine->name();
  EXPECT_TRUE(service.run_until_all_finished(seconds(400)));
  EXPECT_EQ(service.violations(), "");
  EXPECT_EQ(service.site.users.count("done"), 24U);
}

// The leader still reaches its workers, but neither the store nor any peer. A successor takes over,
// the workers switch to it, cancelled jobs stay cancelled, and the load balancer's health check
// of the old leader fails.
TEST_P(service_guarantees, a_leader_that_reaches_only_its_workers_is_replaced) {
  sim_service service(GetParam(), 5);
  auto& net = service.net;
  submit_mixed(service, 24, 6, seconds(60));
  std::optional<std::size_t> isolated_node;
  int health_status = 0;
  net.after(seconds(30), [&] {
    isolated_node = service.leader();
    const std::string host = node_host(*isolated_node);
    net.cut(host, "state", seconds(40), sim_net::cut_mode::drop);
    for (std::size_t peer = 0; peer < 5; ++peer) {
      if (peer != *isolated_node)
        net.cut(host, node_host(peer), seconds(40), sim_net::cut_mode::drop);
    }
  });
  net.after(seconds(38), [&] {
    net.call("balancer", service.site.controller_addresses[*isolated_node], {"GET", "/healthz", ""},
             seconds(1), [&](const net::response& reply) { health_status = reply.status; });
  });
  for (std::size_t i = 0; i < 6; ++i)
    service.site.users.cancel_after(seconds(34 + i), job_name(104 + i));

  net.run_for(seconds(60));

  EXPECT_EQ(health_status, 503);
  const auto leader = service.leader();
  ASSERT_TRUE(leader.has_value());
  EXPECT_NE(*leader, *isolated_node);
  EXPECT_TRUE(service.run_until_all_finished(seconds(400)));
  EXPECT_EQ(service.violations(), "");
}

// If a worker's lease is longer than the time within which a cancellation has to take effect,
// nothing can end the tasks of an unreachable machine in time. So no controller may confirm the
// cancellation to the user before these tasks have ended.
TEST_P(service_guarantees,
       a_cancellation_timeout_below_the_lease_delays_confirmation_until_the_tasks_have_ended) {
  site_parameters parameters;
  parameters.lease_s = 12;
  parameters.cancel_s = 5;
  sim_service service(GetParam(), 3, parameters);
  auto& net = service.net;
  for (std::size_t i = 0; i < 6; ++i)
    service.site.users.submit_after(seconds(1 + i), array_job(job_name(100 + i), 6, 300));
  std::size_t running_tasks = 0;
  net.after(seconds(40), [&] {
    for (const auto& [name, machine] : service.site.fleet.machines()) {
      running_tasks += machine->tasks().size();
      service.site.fleet.cut_from_controllers(*machine, seconds(30), sim_net::cut_mode::drop);
    }
  });
  for (std::size_t i = 0; i < 6; ++i)
    service.site.users.cancel_after(seconds(41), job_name(100 + i));
  net.after(seconds(43), [&] { service.crash_leader_for(milliseconds(300)); });

  net.run_for(seconds(46));
  EXPECT_GT(running_tasks, 0U);
  EXPECT_EQ(service.site.users.count("cancelled"), 0U) << "the tasks are still on their machines";

  net.run_for(seconds(60));
  EXPECT_EQ(service.site.users.count("cancelled"), 6U);
  EXPECT_EQ(service.violations(), "");
}

// With hundreds of unfinished jobs, all controllers restart several times in quick succession, also
// in the middle of an election. Afterwards a poll of every job is answered within 75 s, although
// the store allows few requests.
TEST_P(service_guarantees, every_job_can_be_polled_soon_after_all_controllers_restarted) {
  sim_service service(GetParam(), 5);
  auto& net = service.net;
  service.site.parameters.capacity = 1;  // almost nothing can run, so the jobs stay unfinished
  for (std::size_t i = 0; i < 700; ++i)
    service.site.users.submit_after(from_seconds(net.uniform(1, 30)),
                                    array_job(job_name(1000 + i), 40, 300));
  net.run_for(seconds(50));
  const auto& records = service.site.users.records();
  const auto has_state = [](const auto& entry) { return entry.second.has_state(); };
  ASSERT_EQ(std::count_if(records.begin(), records.end(), has_state), 700);
  // Meanwhile other clients poll jobs that were never submitted; each poll costs the store two
  // reads.
  const auto poll_unknown_job = [&service](std::size_t number) {
    service.net.call("strangers", service.site.controller_addresses[number % 5],
                     {"GET", "/work/run-9" + std::to_string(number), ""}, seconds(2),
                     [&service](const net::response& reply) {
                       if (reply.status == 200) service.site.violations.add("invented");
                     });
  };
  for (std::size_t i = 0; i < 10000; ++i)
    net.after(milliseconds(3) * i, [&poll_unknown_job, i] { poll_unknown_job(i); });

  for (int round = 0; round < 3; ++round) {
    for (std::size_t node = 0; node < 5; ++node)
      service.crash_for(node, from_seconds(net.uniform(0.1, 1)));
    net.run_for(milliseconds(1300));
  }

  const time_point restarted = net.now();
  net.run_for(seconds(5));
  EXPECT_TRUE(service.leader().has_value()) << "polls must not keep an election from completing";
  net.run_for(seconds(20));
  const auto unanswered = std::count_if(records.begin(), records.end(), [&](const auto& entry) {
    return entry.second.polled_at.value_or(time_point{}) < restarted;
  });
  EXPECT_EQ(unanswered, 0) << "well within the 75 s allowed";
  EXPECT_EQ(service.violations(), "");
}

// Small jobs of the same priority keep the fleet full. The gang that needs most of the machines of
// one zone still begins within four minutes, and no other job starves.
TEST_P(service_guarantees, the_largest_gang_begins_on_a_full_fleet) {
  site_parameters parameters;
  parameters.quota_factor = 4;  // the fleet limits the jobs, not the quotas
  sim_service service(GetParam(), 3, parameters);
  for (std::size_t i = 0; i < 220; ++i) {
    sim_job job = gang_job(job_name(1000 + i), 1, 25);
    job.team = i % 2 == 0 ? "blue" : "red";
    service.site.users.submit_after(from_seconds(static_cast<double>(i) * 1.7), job);
  }
  service.site.users.submit_after(seconds(60), gang_job("run-1", 4, 20));

  service.net.run_for(seconds(380));

  ASSERT_TRUE(service.site.fleet.has_started("run-1"));
  const duration waited = service.site.fleet.first_starts().at("run-1") -
                          *service.site.users.record("run-1").submitted_at;
  EXPECT_LT(waited, seconds(240));
  EXPECT_EQ(service.violations(), "");
}

// Fetching the image takes longer than a gang member may wait for the others. The first members
// time out and are started again while the others continue to fetch. The leader crashes meanwhile.
TEST_P(service_guarantees, a_gang_begins_although_fetching_its_image_exceeds_the_wait_of_members) {
  sim_service service(GetParam(), 3);
  auto& net = service.net;
  sim_job gang = gang_job("run-1", 4, 20);
  gang.fetch_s = 50;  // takes 25 s to 75 s, but members wait only 15 s
  net.copy_late("/v1/report", 0.2, seconds(25));
  service.site.users.submit_after(seconds(1), gang);
  net.after(seconds(45), [&] { service.crash_leader_for(milliseconds(300)); });

  net.run_for(seconds(200));

  EXPECT_TRUE(service.run_until_all_finished(seconds(60)));
  EXPECT_EQ(service.site.users.count("done"), 1U);
  EXPECT_EQ(service.violations(), "");
}

namespace {

/// Cuts zone b, which contains controller node-2, off from everything for `span`; every second
/// machine stays cut off 4 s longer. Returns the zone's machines.
std::vector<const sim_machine*> cut_off_zone_b(sim_service& service, duration span) {
  std::vector<const sim_machine*> machines;
  for (const auto* machine : first_machines_up(service, service.site.fleet.machines().size())) {
    if (machine->zone() != "b") continue;
    machines.push_back(machine);
    const duration extension = machines.size() % 2 == 0 ? seconds(4) : seconds(0);
    service.site.fleet.cut_from_controllers(*machine, span + extension, sim_net::cut_mode::drop);
  }
  for (const char* host : {"state", "cloud", "users", "node-0", "node-1", "node-3", "node-4"})
    service.net.cut("node-2", host, span, sim_net::cut_mode::drop);
  return machines;
}

/// Returns how many machines of a zone were rented between two times of a scenario.
std::size_t count_rented_machines(const sim_service& service, const std::string& zone,
                                  duration from, duration until) {
  std::size_t count = 0;
  for (const auto& [name, machine] : service.site.fleet.machines()) {
    const duration rented_at = machine->created_at() - simulation_start;
    count += machine->zone() == zone && rented_at > from && rented_at < until;
  }
  return count;
}

}  // namespace

// A zone is cut off from everything for many leases, and its machines reconnect in two halves, one
// after the other. All of them are kept and no machine is rented there meanwhile. This also holds
// for a new leader that has never received a heartbeat from these machines.
TEST_P(service_guarantees, machines_of_a_cut_off_zone_are_kept_and_none_rented_there) {
  sim_service service(GetParam(), 5);
  auto& net = service.net;
  service.site.parameters.capacity = 8;
  for (std::size_t i = 0; i < 60; ++i) {
    const auto members = static_cast<std::uint32_t>(1 + i % 2);
    const sim_job job = i % 3 == 0 ? gang_job(job_name(100 + i), members, 20)
                                   : array_job(job_name(100 + i), 12, 20);
    service.site.users.submit_after(from_seconds(net.uniform(0, 130)), job);
  }
  std::vector<const sim_machine*> cut_off;
  net.after(seconds(40), [&] { cut_off = cut_off_zone_b(service, seconds(50)); });
  if (GetParam() % 2 == 0)
    net.after(seconds(42), [&] { service.crash_leader_for(milliseconds(200)); });

  net.run_for(seconds(95));

  ASSERT_GE(cut_off.size(), 4U);
  const auto returned = std::count_if(cut_off.begin(), cut_off.end(),
                                      [](const auto* machine) { return machine->is_gone(); });
  EXPECT_EQ(returned, 0);
  // The controllers treat the zone as cut off only after some time without heartbeats from it.
  EXPECT_EQ(count_rented_machines(service, "b", seconds(50), seconds(90)), 0U);
  EXPECT_TRUE(service.run_until_all_finished(seconds(400)));
  EXPECT_EQ(service.violations(), "");
}

}  // namespace gingerdrift::testing
