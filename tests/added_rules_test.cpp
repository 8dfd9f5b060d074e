// The rules and troubles that the operators added, in virtual time. A day's course is fixed by its
// seed; the store keeps its request and write limits.
#include <gtest/gtest.h>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {

sim_job array_of(const std::string& id, std::uint32_t tasks, double run_s) {
  sim_job job;
  job.id = id;
  job.team = "blue";
  job.tasks = tasks;
  job.run_s = run_s;
  job.spot = true;
  return job;
}

sim_job gang_of(const std::string& id, std::uint32_t tasks, double run_s) {
  sim_job job;
  job.id = id;
  job.team = "red";
  job.gang = true;
  job.tasks = tasks;
  job.gpus = 8;
  job.cpus = 8;
  job.run_s = run_s;
  job.one_zone = true;
  return job;
}

void submit_over(sim_service& service, std::size_t count, duration over) {
  for (std::size_t i = 0; i < count; ++i) {
    const std::string id = "run-" + std::to_string(100 + i);
    const double run_s = service.net.uniform(5, 25);
    const sim_job job = i % 3 == 0 ? gang_of(id, 1 + i % 2, run_s) : array_of(id, 6, run_s);
    service.net.after(from_seconds(service.net.uniform(0, to_seconds(over))),
                      [&service, job] { service.site.submit(job); });
  }
}

}  // namespace

class added : public ::testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(days, added, ::testing::Values(1, 2, 3, 4));

TEST_P(added, machines_that_hear_nothing_are_replaced_and_late_copies_change_nothing) {
  sim_service service(GetParam(), 5);
  auto& net = service.net;
  net.copy_late("/v1/report", 0.2, seconds(25));  // four times a lease
  submit_over(service, 24, seconds(60));
  std::set<std::string> deaf;
  net.after(seconds(25), [&] {
    for (const auto& [name, one] : service.site.machines) {
      if (!one->up || one->gone || deaf.size() >= 3) continue;
      deaf.insert(name);
      for (const auto& node : service.site.nodes)
        net.cut_one_way(service.site.host_of(node), name, seconds(60));
    }
  });
  net.after(seconds(40), [&] { service.crash_for(*service.leader(), milliseconds(200)); });
  net.run_for(seconds(80));
  ASSERT_EQ(deaf.size(), 3U);
  for (const auto& name : deaf) EXPECT_TRUE(service.site.machines.at(name)->gone) << name;
  EXPECT_TRUE(service.run_until_over(seconds(400)));
  EXPECT_EQ(service.rules_broken(), "");
  EXPECT_EQ(service.site.count("done"), 24U);
}

// The leader keeps its workers but hears neither the store nor a peer: a successor takes over, the
// workers go there, cancellations hold, and the load balancer is told.
TEST_P(added, a_leader_left_with_its_workers_alone_makes_way) {
  sim_service service(GetParam(), 5);
  auto& net = service.net;
  submit_over(service, 24, seconds(60));
  std::optional<std::size_t> cut_off;
  int health = 0;
  net.after(seconds(30), [&] {
    cut_off = service.leader();
    const std::string name = "node-" + std::to_string(*cut_off);
    net.cut(name, "state", seconds(40), sim_net::cut_mode::drop);
    for (int i = 0; i < 5; ++i) {
      const std::string other = "node-" + std::to_string(i);
      if (other != name) net.cut(name, other, seconds(40), sim_net::cut_mode::drop);
    }
  });
  net.after(seconds(38), [&] {
    net.call("balancer", "node-" + std::to_string(*cut_off) + ":1", {"GET", "/healthz", ""},
             seconds(1), [&](const net::response& reply) { health = reply.status; });
  });
  for (int i = 0; i < 6; ++i)
    net.after(seconds(34 + i), [&, i] { service.site.withdraw("run-" + std::to_string(104 + i)); });
  net.run_for(seconds(60));
  EXPECT_EQ(health, 503);
  const auto now = service.leader();
  ASSERT_TRUE(now.has_value());
  EXPECT_NE(*now, *cut_off);
  EXPECT_TRUE(service.run_until_over(seconds(400)));
  EXPECT_EQ(service.rules_broken(), "");
}

// Where a worker's lease outlasts the time a cancellation has, nothing could end the tasks of a
// machine that is out of reach in time: the user is told once they are gone, and not before, by no
// controller.
TEST_P(added, a_cancellation_with_less_time_than_a_lease_is_confirmed_once_the_tasks_are_gone) {
  site_shape shape;
  shape.lease_s = 12;
  shape.cancel_s = 5;
  sim_service service(GetParam(), 3, shape);
  auto& net = service.net;
  for (int i = 0; i < 6; ++i) {
    const sim_job job = array_of("run-" + std::to_string(100 + i), 6, 300);
    net.after(seconds(1 + i), [&service, job] { service.site.submit(job); });
  }
  std::size_t running = 0;
  net.after(seconds(40), [&] {
    for (const auto& [name, one] : service.site.machines) {
      running += one->tasks.size();
      for (const auto& node : service.site.nodes)
        net.cut(name, service.site.host_of(node), seconds(30), sim_net::cut_mode::drop);
    }
  });
  for (int i = 0; i < 6; ++i)
    net.after(seconds(41), [&, i] { service.site.withdraw("run-" + std::to_string(100 + i)); });
  net.after(seconds(43), [&] { service.crash_for(*service.leader(), milliseconds(300)); });
  net.run_for(seconds(46));
  EXPECT_GT(running, 0U);
  EXPECT_EQ(service.site.count("cancelled"), 0U) << "their machines still have them";
  net.run_for(seconds(60));
  EXPECT_EQ(service.site.count("cancelled"), 6U);
  EXPECT_EQ(service.rules_broken(), "");
}

// All controllers restart with hundreds of unfinished jobs, mid-election and within moments: after
// that every job answers a poll within 75 s, though the store allows few requests.
TEST_P(added, every_job_is_known_soon_after_all_controllers_restarted) {
  sim_service service(GetParam(), 5);
  auto& net = service.net;
  service.site.shape.capacity = 1;  // next to nothing runs: the jobs stay
  for (int i = 0; i < 700; ++i) {
    const sim_job job = array_of("run-" + std::to_string(1000 + i), 40, 300);
    net.after(from_seconds(net.uniform(1, 30)), [&service, job] { service.site.submit(job); });
  }
  net.run_for(seconds(50));
  ASSERT_EQ(service.site.told.size(), 700U);
  // Others ask, all the while, about jobs that nobody submitted: each costs the store two reads.
  for (int i = 0; i < 10000; ++i) {
    net.after(milliseconds(3) * i, [&net, &service, i] {
      const auto& node = service.site.nodes[static_cast<std::size_t>(i) % 5];
      net.call("strangers", node, {"GET", "/work/run-9" + std::to_string(i), ""}, seconds(2),
               [&service](const net::response& reply) {
                 if (reply.status == 200) service.site.broken.push_back("invented");
               });
    });
  }
  for (int round = 0; round < 3; ++round) {
    for (std::size_t node = 0; node < 5; ++node)
      service.crash_for(node, from_seconds(net.uniform(0.1, 1)));
    net.run_for(milliseconds(1300));
  }
  const time_point calm = net.now();
  net.run_for(seconds(5));
  EXPECT_TRUE(service.leader().has_value()) << "elections get through, however many ask";
  net.run_for(seconds(20));
  std::size_t unheard = 0;
  for (const auto& [id, state] : service.site.told) unheard += service.site.answered[id] < calm;
  EXPECT_EQ(unheard, 0U) << "well within the 75 s allowed";
  EXPECT_EQ(service.rules_broken(), "");
}

// A fleet kept full by small jobs of the same priority: the gang that needs most machines of one
// zone still begins within four minutes, and nobody else starves.
TEST_P(added, the_largest_gang_begins_on_a_full_fleet) {
  site_shape shape;
  shape.teams = 4;  // the fleet is what limits them
  sim_service service(GetParam(), 3, shape);
  auto& net = service.net;
  for (int i = 0; i < 220; ++i) {
    sim_job job = gang_of("run-" + std::to_string(1000 + i), 1, 25);
    job.team = i % 2 == 0 ? "blue" : "red";
    net.after(from_seconds(i * 1.7), [&service, job] { service.site.submit(job); });
  }
  sim_job largest = gang_of("run-1", 4, 20);
  net.after(seconds(60), [&] { service.site.submit(largest); });
  net.run_for(seconds(380));
  ASSERT_EQ(service.site.began.count("run-1"), 1U);
  EXPECT_LT(service.site.began.at("run-1") - service.site.submitted.at("run-1"), seconds(240));
  EXPECT_EQ(service.rules_broken(), "");
}

// An image that takes longer than a member of a gang may wait for the others: the first members
// give up, are started again, and the rest go on fetching. Controllers change meanwhile.
TEST_P(added, a_gang_begins_though_its_image_takes_longer_than_members_wait) {
  sim_service service(GetParam(), 3);
  auto& net = service.net;
  sim_job gang = gang_of("run-1", 4, 20);
  gang.fetch_s = 50;  // 25 s to 75 s, and members wait for 15 s
  net.copy_late("/v1/report", 0.2, seconds(25));
  net.after(seconds(1), [&] { service.site.submit(gang); });
  net.after(seconds(45), [&] { service.crash_for(*service.leader(), milliseconds(300)); });
  net.run_for(seconds(200));
  EXPECT_TRUE(service.run_until_over(seconds(60)));
  EXPECT_EQ(service.site.count("done"), 1U);
  EXPECT_EQ(service.rules_broken(), "");
}

// A zone is cut off from everything, for many leases, and its machines are back one half after the
// other. They are all kept, none is rented there meanwhile, and a successor that has never heard
// them knows no less.
TEST_P(added, machines_of_a_cut_off_zone_are_kept_and_none_rented_there) {
  sim_service service(GetParam(), 5);
  auto& net = service.net;
  service.site.shape.capacity = 8;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "run-" + std::to_string(100 + i);
    sim_job job = i % 3 == 0 ? gang_of(id, 1 + i % 2, 20) : array_of(id, 12, 20);
    net.after(from_seconds(net.uniform(0, 130)), [&service, job] { service.site.submit(job); });
  }
  std::vector<std::string> cut;
  constexpr auto span = seconds(50);
  net.after(seconds(40), [&] {
    for (const auto& [name, one] : service.site.machines) {
      if (one->zone != "b" || one->gone || !one->up) continue;
      cut.push_back(name);
      const duration late = cut.size() % 2 == 0 ? seconds(4) : seconds(0);
      for (int node = 0; node < 5; ++node)
        net.cut(name, "node-" + std::to_string(node), span + late, sim_net::cut_mode::drop);
    }
    for (const std::string other :
         {"state", "cloud", "users", "node-0", "node-1", "node-3", "node-4"})
      net.cut("node-2", other, span, sim_net::cut_mode::drop);
  });
  if (GetParam() % 2 == 0)
    net.after(seconds(42), [&] { service.crash_for(*service.leader(), milliseconds(200)); });
  net.run_for(seconds(95));
  ASSERT_GE(cut.size(), 4U);
  std::size_t returned = 0;
  for (const auto& name : cut) returned += service.site.machines.at(name)->gone;
  EXPECT_EQ(returned, 0U);
  std::size_t rented = 0;
  for (const auto& [name, one] : service.site.machines) {
    // The zone has to be silent for a while before it counts as cut off.
    const duration when = one->rented - time_point(seconds(1000));
    rented += one->zone == "b" && when > seconds(50) && when < seconds(90);
  }
  EXPECT_EQ(rented, 0U);
  EXPECT_TRUE(service.run_until_over(seconds(400)));
  EXPECT_EQ(service.rules_broken(), "");
}

// A fleet of hundreds of machines and thousands of tasks: what is asked of the store and the cloud
// follows the work and not its square. No time is measured.
TEST(grown, calls_and_writes_follow_the_work) {
  site_shape shape;
  shape.report_s = 5;
  shape.lease_s = 24;
  shape.cancel_s = 44;
  shape.teams = 40;
  sim_service service(11, 5, shape);
  auto& net = service.net;
  service.site.shape.capacity = 150;  // of each zone and kind: 600 machines
  std::size_t tasks = 0;
  for (int i = 0; i < 120; ++i) {
    sim_job job = array_of("run-" + std::to_string(1000 + i), 50, net.uniform(20, 40));
    if (i % 4 == 0) job = gang_of("run-" + std::to_string(1000 + i), 1 + i % 3, 30);
    job.team = i % 2 == 0 ? "red" : "blue";
    tasks += job.tasks;
    net.after(from_seconds(net.uniform(1, 40)), [&service, job] { service.site.submit(job); });
  }
  net.run_for(seconds(41));
  ASSERT_TRUE(service.run_until_over(seconds(600)));
  EXPECT_EQ(service.rules_broken(), "");
  EXPECT_GE(service.site.starts, tasks);
  EXPECT_LT(service.state.writes_taken(), tasks) << "less than a write for each task";
  EXPECT_LE(service.state.biggest_value(), 8U << 10);
  EXPECT_LE(service.state.most_operations(), 24U);
  const double minutes = net.seconds_now() / 60;
  EXPECT_LT(static_cast<double>(service.site.cloud_calls), minutes * 60 * 4);
}

// Half again as many machines as the largest deployment named: the leader ends, a tenth of the
// machines is lost at once, and what is asked of store and cloud is bounded all the same.
TEST(grown, a_takeover_and_a_mass_loss_among_two_thousand_machines) {
  site_shape shape;
  shape.report_s = 6;
  shape.lease_s = 31;
  shape.cancel_s = 51;
  shape.teams = 2000;
  shape.pass_s = 1;  // about what a pass over so many machines is spaced by
  sim_service service(13, 5, shape);
  auto& net = service.net;
  service.site.shape.capacity = 525;  // of each zone and kind: 2100 machines
  std::size_t tasks = 0;
  for (int i = 0; i < 160; ++i) {
    sim_job job = array_of("run-" + std::to_string(1000 + i), 27, net.uniform(50, 70));
    job.gpus = 4;  // two on a machine
    if (i % 40 == 0) job = gang_of("run-" + std::to_string(1000 + i), 4, 60);
    tasks += job.tasks;
    net.after(from_seconds(net.uniform(1, 20)), [&service, job] { service.site.submit(job); });
  }
  std::size_t up = 0;
  net.after(seconds(75), [&] {
    for (const auto& [name, one] : service.site.machines) up += one->up;
    service.crash_for(*service.leader(), milliseconds(300));
  });
  net.after(seconds(80), [&] {
    ASSERT_TRUE(service.leader().has_value());
    std::size_t lost = 0;
    for (auto& [name, one] : service.site.machines) {
      if (!one->up || ++lost % 10 != 0) continue;
      one->vanish();
    }
  });
  net.run_for(seconds(81));
  EXPECT_GT(up, 1500U);
  ASSERT_TRUE(service.run_until_over(seconds(400)));
  EXPECT_EQ(service.rules_broken(), "");
  EXPECT_EQ(service.site.count("done"), 160U);
  EXPECT_LT(service.site.starts, tasks * 5 / 4) << "only what was lost is started again";
  EXPECT_LT(service.state.writes_taken(), tasks);
  EXPECT_LE(service.state.biggest_value(), 8U << 10);
  EXPECT_LE(service.state.most_operations(), 24U);
  EXPECT_LT(static_cast<double>(service.site.cloud_calls), net.seconds_now() * 4);
}

// A large pool falls idle: all but a few of its machines go back soon, those few a while later.
TEST(grown, most_of_a_large_pool_that_fell_idle_is_returned_soon) {
  site_shape shape;
  shape.teams = 40;
  sim_service service(12, 3, shape);
  auto& net = service.net;
  service.site.shape.capacity = 40;
  for (int i = 0; i < 6; ++i) {
    sim_job job = array_of("run-" + std::to_string(i), 80, 70);
    net.after(seconds(1), [&service, job] { service.site.submit(job); });
  }
  const auto held = [&] {
    std::size_t sum = 0;
    for (const auto& [name, one] : service.site.machines) sum += !one->gone;
    return sum;
  };
  net.run_for(seconds(60));
  EXPECT_GE(held(), 60U);
  ASSERT_TRUE(service.run_until_over(seconds(200)));
  net.run_for(seconds(16));
  EXPECT_LE(held(), 8U) << "four of each pool";
  EXPECT_GE(held(), 4U);
  net.run_for(seconds(25));
  EXPECT_EQ(held(), 0U);
  EXPECT_EQ(service.rules_broken(), "");
}

}  // namespace gingerdrift::testing
