#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace gingerdrift::admission {

/// Slack of every comparison of amounts, in CPUs, GPUs or GB. Amounts are decimal: sums of tenths
/// must not miss a full machine or a limit by a rounding error.
inline constexpr double amount_tolerance = 1e-6;

/// An amount of each resource: what a task needs, what a machine has, what a team uses.
struct resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  resources& operator+=(const resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  resources& operator-=(const resources& other) { return *this += other.times(-1); }
  resources times(double factor) const {
    return {cpus * factor, gpus * factor, memory_gb * factor};
  }
  /// Whether each amount is available, up to `amount_tolerance`.
  bool fits_in(const resources& available) const {
    return cpus <= available.cpus + amount_tolerance && gpus <= available.gpus + amount_tolerance &&
           memory_gb <= available.memory_gb + amount_tolerance;
  }
};

/// Priority class of a job, lowest first: only lower ones may be preempted for it.
enum class priority : std::uint8_t { low, standard, high, production };

/// A machine type of the cloud's catalogue.
struct machine_type {
  std::string name;
  resources size;
  double price = 0;       // on demand
  double spot_price = 0;  // same unit as `price`
  double cache_gb = 0;    // for images
  double fetch_gb_per_s = 0;
  duration boot = seconds(60);  // from the request to the first heartbeat
  std::vector<zone_name> zones;
};

/// A pool: one machine type in one zone, ordinary or spot. An empty zone stands for "any zone": a
/// job that is not bound to one zone has one variant for all of them, so that its tasks go to the
/// fullest machines wherever these are.
struct pool {
  std::string type;
  zone_name zone;
  bool spot = false;
  auto operator<=>(const pool&) const = default;

  bool same_kind(const pool& other) const { return type == other.type && spot == other.spot; }
  /// Whether `concrete`, a pool of one zone, is this pool or one of those it stands for.
  bool covers(const pool& concrete) const {
    return same_kind(concrete) && (zone.empty() || zone == concrete.zone);
  }
};

/// What pools in different zones have in common: the machine type, and ordinary or spot.
struct pool_kind {
  std::string type;
  bool spot = false;
  auto operator<=>(const pool_kind&) const = default;
};

/// A machine as one scheduling cycle sees it.
struct machine_view {
  machine_name name;
  admission::pool pool;
  resources free;         // of a machine that reports; what a new one of its type has otherwise
  bool ready = false;     // reports, and takes new tasks
  bool starting = false;  // rented, not up yet
  std::vector<std::string> images;
};

/// A task that holds a place on a machine until it is proven gone.
struct placed_task_view {
  std::uint32_t task = 0;
  machine_name machine;
  admission::pool pool;
  bool running = false;
  bool stopping = false;       // was told to stop
  time_point running_since{};  // when it was first seen running
};

/// An unfinished job as one scheduling cycle sees it.
struct job_view {
  job_id id;
  std::size_t team = 0;
  admission::priority level = priority::standard;
  std::int64_t created_ms = 0;
  time_point created{};  // by the leader's clock
  bool gang = false;
  std::uint32_t total_tasks = 0;   // tasks, those done included
  resources need;                  // of each task
  bool any_type = true;            // of machine; otherwise one of `types`
  std::vector<std::string> types;  // names of machine types
  zone_name zone;                  // empty: any
  bool one_zone = false;           // all tasks in the same zone
  bool spread = false;             // at most half of the tasks in each zone
  bool spot = false;               // may run on spot machines
  std::string image;
  duration estimate{};                   // of a task's work
  duration checkpoint{};                 // between the checkpoints of a task; zero if it makes none
  duration save{};                       // to save its work when it is stopped
  std::vector<std::uint32_t> waiting;    // tasks to place now; a gang's: all of them or lost ones
  std::vector<placed_task_view> placed;  // whatever is not proven gone
  std::set<machine_name> excluded_machines;  // machines it failed on
  bool placement_suspended = false;          // waits for an old attempt to go
  time_point not_before{};                   // backs off until then
};

/// Quota of a team: its guarantee, and its limit (`…_max`). 0 in a field: no guarantee, no limit.
struct team_view {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

/// Input of a scheduling cycle. The views are shared with whoever made them, and never change: a
/// snapshot of a large fleet is a list of pointers, and only what has changed since the last one
/// was written anew.
struct snapshot {
  time_point now;
  std::vector<machine_type> types;
  std::vector<team_view> teams;
  std::vector<std::shared_ptr<const machine_view>> machines;
  std::vector<std::shared_ptr<const job_view>> jobs;
  std::set<pool> refused_pools;  // no capacity there lately
};

/// A task is to be started on a machine.
struct start_decision {
  job_id job;
  std::uint32_t task = 0;
  machine_name machine;
};
/// Why tasks are evicted: for another job, or for a better pool of their own.
enum class stop_reason : std::uint8_t { preempted, upgraded };
/// Tasks of a job are to be stopped. They hold quota and place until they are proven gone.
struct stop_decision {
  job_id job;
  std::vector<std::uint32_t> tasks;
  stop_reason reason = stop_reason::preempted;
  job_id for_job;  // that gets the room; of an upgrade, the job itself
};

/// Output of a scheduling cycle.
struct decisions {
  std::vector<start_decision> starts;
  std::vector<stop_decision> stops;
  std::map<pool, std::uint32_t> scale_out;  // machines missing, beyond those starting
  std::set<machine_name> needed_machines;   // machines some waiting job counts on
};

/// Settings of admission. All durations of a job count from its creation unless said otherwise.
struct policy {
  bool spot_first = true;  // order of the pools of jobs that may run on spot machines
  duration variant_creation_delay = seconds(5);  // until lower variants are created
  /// While jobs whose best pool it is wait there, a lower variant is created only after this. Also
  /// how long a kind of pool counts as full after the cloud refused machines in all of its zones.
  duration contested_pool_delay = seconds(45);
  duration lower_pool_scale_out_delay = seconds(20);  // no machine is rented in a lower pool before
  duration variant_deletion_delay = seconds(60);  // from admission: until better ones are deleted
  duration upgrade_min_remaining = seconds(120);  // run time expected still, to be worth an upgrade
  duration reservation_ttl = seconds(20);         // of a reserved machine, unless renewed
  duration gang_reservation_delay = seconds(60);  // a gang that waits longer reserves machines
  double gang_reservation_share = 0.03;    // of the machines of a pool, at most, for all such gangs
  std::uint32_t max_victim_searches = 12;  // in one cycle
};

}  // namespace gingerdrift::admission
