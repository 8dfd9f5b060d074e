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

/// Counts scheduling cycles and returns the decisions prepared by the test after 2 ms.
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

/// Fixture with the leader's state and the components that the tested component depends on. Runs in
/// virtual time, with one team, one machine type and no cloud service.
class leader_parts : public ::testing::Test, private dependencies::tracker_owner {
 protected:
  static constexpr fencing_token token{1};
  static constexpr duration worker_lease = seconds(24);

  leader_parts() {
    state.set_limits(wide_limits);
    machines.set_types(types());
    workers.start_reconciling();
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
  /// Returns the next heartbeat of a machine, without tasks.
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
  /// Delivers the next heartbeat of a machine, without tasks, and returns the machine's worker.
  workers::worker& send_heartbeat(const machine_name& machine, const zone_name& zone = "a",
                                  bool spot = false) {
    const auto next = heartbeat(machine, zone, spot);
    machines.heartbeat_received(machine, next.pool);
    workers.handle(next);
    return *workers.find(machine);
  }
  /// Advances the time by `span`, while each of these machines sends a heartbeat every second.
  void send_heartbeats_for(seconds span, const std::vector<machine_name>& names) {
    for (seconds passed(0); passed < span; passed += seconds(1)) {
      net.run_for(seconds(1));
      for (const auto& name : names) send_heartbeat(name);
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
  static job_store::job new_job(const job_id& id, std::uint32_t tasks, bool gang = false) {
    return {spec_of(id, tasks, gang), 0};
  }
  job_store::job& add_job(const job_id& id, std::uint32_t tasks, bool gang = false) {
    return jobs.insert(new_job(id, tasks, gang));
  }
  void store_record(const std::string& key, const kvstore::json& value) {
    store.txn({}, {{key, value, 0, false}}, [](const kvstore::result&) {});
    net.run_for(milliseconds(20));
  }

  const kvstore::service_limits wide_limits{1000, 500, 8, 24};
  const config::platform_settings platform = settings();
  const config::operator_settings operator_settings;
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
                             .finalized = [](const job_id&, const job_store::terminal_state&) {},
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
      {.cloud_endpoint = "cloud:1"},
      token,
      {.machine_terminated = [](const machine_name&, cloud::termination_evidence) {},
       .changed = [] {},
       .lease_valid = [this] { return lease_valid; },
       .heartbeat_timeout_extension = [](const zone_name&) { return duration::zero(); }}};
  const leader::term_context context{.runtime = runtime,
                                     .platform = platform,
                                     .operator_settings = operator_settings,
                                     .controller_metrics = measured,
                                     .token = token,
                                     .jobs = jobs,
                                     .dependencies = dependencies,
                                     .workers = workers,
                                     .machines = machines};
  leader::zone_health zones{runtime, platform, operator_settings, workers, machines};
  leader::decision_applier decisions{jobs, workers, machines, measured, token};
  leader::snapshot_builder snapshots{context, zones};
  scripted_executor executor{runtime};
  std::function<void()> on_cycle_finished = [] {};
  leader::scheduling_loop loop{context,
                               executor,
                               snapshots,
                               decisions,
                               {.lease_valid = [this] { return lease_valid; },
                                .is_recovered = [this] { return recovered; },
                                .cycle_finished = [this] { on_cycle_finished(); }}};

 private:
  void load_job(const kvstore::entry&, time_point) override {}
  std::optional<job_store::terminal_state> cached_terminal_state(const job_id&) override {
    return std::nullopt;
  }
  void dependencies_changed() override {}

  std::uint64_t sequence_number_ = 0;
};

}  // namespace gingerdrift::testing
