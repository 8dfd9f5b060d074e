#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "leader/decision_applier.hpp"
#include "leader/scheduling_loop.hpp"
#include "leader/snapshot_builder.hpp"
#include "leader/term_context.hpp"
#include "leader/zone_health.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

/// Counts scheduling cycles and returns the decisions that the test prepared, 2 ms later.
class scripted_executor final : public leader::scheduling_executor {
 public:
  explicit scripted_executor(net::runtime& runtime) : runtime_(runtime) {}
  void run_cycle(fencing_token, admission::snapshot snapshot, leader::decisions_fn done) override {
    ++cycles;
    last = std::move(snapshot);
    runtime_.after(milliseconds(2), [this, done = std::move(done)] {
      done(std::exchange(decisions, {}), milliseconds(2));
    });
  }
  int cycles = 0;
  admission::snapshot last;
  admission::decisions decisions;

 private:
  net::runtime& runtime_;
};

/// The leader's state and the parts that tests of other parts need, in virtual time: one team, one
/// machine type, no cloud.
class leader_parts : public ::testing::Test, private dependencies::tracker_owner {
 protected:
  static constexpr fencing_token token{1};
  static constexpr duration worker_lease = seconds(24);

  leader_parts() {
    state.set_limits(wide_limits);
    machines.set_types(types());
    workers.ready();
  }
  static std::vector<admission::machine_type> types() {
    admission::machine_type type;
    type.name = "g8";
    type.size = {64, 8, 256};
    type.zones = {"a", "b"};
    return {type};
  }
  static config::platform_settings settings() {
    config::platform_settings out;
    out.node = "node-0";
    out.worker_lease = worker_lease;
    out.teams = {{.name = "red"}};
    return out;
  }
  /// The next heartbeat of a machine, without tasks.
  workers::worker_heartbeat heartbeat(const machine_name& machine, const zone_name& zone = "a",
                                      bool spot = false) {
    workers::worker_heartbeat out;
    out.machine = machine;
    out.address = machine.str() + ":9";
    out.pool = {"g8", zone, spot};
    out.incarnation = worker_incarnation(1);
    out.sequence = ++sequence_number_;
    out.token = token;
    return out;
  }
  workers::worker& hear(const machine_name& machine, const zone_name& zone = "a",
                        bool spot = false) {
    const auto next = heartbeat(machine, zone, spot);
    machines.heartbeat_received(machine, next.pool);
    workers.handle(next);
    return *workers.find(machine);
  }
  /// Time passes, while these machines send a heartbeat each second.
  void hear_for(seconds span, const std::vector<machine_name>& names) {
    for (seconds passed(0); passed < span; passed += seconds(1)) {
      net.run_for(seconds(1));
      for (const auto& name : names) hear(name);
    }
  }
  static job_store::job_spec spec_of(const job_id& id, std::uint32_t tasks, bool gang = false) {
    job_store::job_spec spec;
    spec.id = id;
    spec.team = "red";
    spec.tasks = tasks;
    spec.gang = gang;
    return spec;
  }
  static job_store::job job_announced(const job_id& id, std::uint32_t tasks, bool gang = false) {
    return {spec_of(id, tasks, gang), 0};
  }
  job_store::job& add_job(const job_id& id, std::uint32_t tasks, bool gang = false) {
    return jobs.insert(job_announced(id, tasks, gang));
  }
  void store_record(const std::string& key, const kvstore::json& value) {
    store.txn({}, {{key, value, 0, false}}, [](const kvstore::result&) {});
    net.run_for(milliseconds(20));
  }

  const kvstore::service_limits wide_limits{1000, 500, 8, 24};
  const config::platform_settings platform = settings();
  const config::operator_settings rules;
  bool lease_valid = true;
  bool recovered = true;
  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-0"};
  kvstore::client store{runtime, "state:1", wide_limits, std::nullopt, {1, 1, 1}};
  metrics measured;
  job_store::job_table jobs{runtime,
                            store,
                            {"gd/leader", {}},
                            wide_limits,
                            {.stored = [](const job_id&) {},
                             .gone = [](const job_id&, const job_store::terminal_state&) {},
                             .committed = [] {},
                             .deposed = [] {},
                             .may_write = [this] { return lease_valid; }}};
  dependencies::tracker dependencies{runtime, store, jobs, *this};
  workers::reconciler workers{
      runtime,
      jobs,
      {.heartbeat_interval = seconds(3), .worker_lease = worker_lease, .renewal_grace = seconds(5)},
      token,
      {.lease_valid = [this] { return lease_valid; },
       .changed = [] {},
       .cache_gb = [](const std::string&) { return 50.0; },
       .rented_in_term = [](const machine_name&) { return false; }}};
  cloud::machine_inventory machines{
      runtime,
      {.cloud = "cloud:1"},
      token,
      {.gone = [](const machine_name&, cloud::departure) {},
       .changed = [] {},
       .lease_valid = [this] { return lease_valid; },
       .allowance = [](const zone_name&) { return duration::zero(); }}};
  const leader::term_context context{.runtime = runtime,
                                     .platform = platform,
                                     .rules = rules,
                                     .measured = measured,
                                     .token = token,
                                     .jobs = jobs,
                                     .dependencies = dependencies,
                                     .workers = workers,
                                     .machines = machines};
  leader::zone_health zones{runtime, platform, rules, workers, machines};
  leader::decision_applier decisions{jobs, workers, machines, measured, token};
  leader::snapshot_builder snapshots{context, zones};
  scripted_executor executor{runtime};
  std::function<void()> on_cycle_done = [] {};
  leader::scheduling_loop loop{context,
                               executor,
                               snapshots,
                               decisions,
                               {.lease_valid = [this] { return lease_valid; },
                                .recovered = [this] { return recovered; },
                                .cycle_done = [this] { on_cycle_done(); }}};

 private:
  void take_job(const kvstore::entry&, time_point) override {}
  std::optional<job_store::terminal_state> cached_terminal_state(const job_id&) override {
    return std::nullopt;
  }
  void dependencies_changed() override {}

  std::uint64_t sequence_number_ = 0;
};

}  // namespace gingerdrift::testing
