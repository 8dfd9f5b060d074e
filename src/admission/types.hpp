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

/// Tolerance of every comparison of resource amounts, in CPUs, GPUs or GB. Users give amounts as
/// decimal fractions; without a tolerance, the rounding error of a sum of tenths could keep tasks
/// from filling a machine or a quota limit exactly.
inline constexpr double amount_tolerance = 1e-6;

/// An amount of each resource: the request of a task, the capacity of a machine or the usage of a
/// team.
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
  /// Returns the amounts multiplied by `factor`.
  resources times(double factor) const {
    return {cpus * factor, gpus * factor, memory_gb * factor};
  }
  /// Reports whether `available` covers each amount, up to `amount_tolerance`.
  bool fits_in(const resources& available) const {
    return cpus <= available.cpus + amount_tolerance && gpus <= available.gpus + amount_tolerance &&
           memory_gb <= available.memory_gb + amount_tolerance;
  }
};

/// Priority class of a job, lowest first. On grounds of priority, a job may preempt only jobs of a
/// lower class.
enum class priority : std::uint8_t { low, standard, high, production };

/// A machine type in the catalog of the cloud provider.
struct machine_type {
  std::string name;
  /// Total resources of a machine.
  resources size;
  /// Price of an on-demand machine.
  double price = 0;
  /// Price of a spot machine, in the unit of `price`.
  double spot_price = 0;
  /// Size of the image cache.
  double cache_gb = 0;
  /// Rate at which a machine downloads images.
  double fetch_gb_per_s = 0;
  /// Time from the request for a machine to its first heartbeat.
  duration boot = seconds(60);
  /// Zones that offer the type.
  std::vector<zone_name> zones;
};

/// A pool: the machines of one type in one zone that are either all spot or all on-demand. An empty
/// zone means "any zone". A job that is not bound to one zone has one variant for all zones, so
/// that its tasks go to the machines with the least free capacity, whichever zone these are in.
struct pool {
  std::string type;
  zone_name zone;
  bool spot = false;
  auto operator<=>(const pool&) const = default;

  /// Reports whether the pools differ in nothing but the zone.
  bool is_same_kind_as(const pool& other) const { return type == other.type && spot == other.spot; }
  /// Reports whether `concrete`, a pool with a zone, is this pool or, if this pool has no zone, one
  /// of the same kind.
  bool covers(const pool& concrete) const {
    return is_same_kind_as(concrete) && (zone.empty() || zone == concrete.zone);
  }
};

/// The properties that corresponding pools of different zones share: the machine type, and whether
/// the machines are spot or on-demand.
struct pool_kind {
  std::string type;
  bool spot = false;
  auto operator<=>(const pool_kind&) const = default;
};

/// Read-only state of a machine for a scheduling cycle.
struct machine_view {
  machine_name name;
  admission::pool pool;
  /// Free resources. For a machine that doesn't report yet, all resources of its type.
  resources free;
  /// The machine reports and accepts new tasks.
  bool ready = false;
  /// The machine is rented but not up yet.
  bool starting = false;
  /// Images in the cache of the machine.
  std::vector<std::string> images;
};

/// A task that occupies capacity on a machine until it is proven to have ended.
struct placed_task_view {
  std::uint32_t task = 0;
  machine_name machine;
  admission::pool pool;
  bool running = false;
  /// The task was told to stop.
  bool stopping = false;
  /// Time at which the task was first reported as running.
  time_point running_since{};
};

/// Read-only state of an unfinished job for a scheduling cycle.
struct job_view {
  job_id id;
  /// Index in `snapshot::teams`.
  std::size_t team = 0;
  admission::priority level = priority::standard;
  /// Time from which the age of the job counts, in ms since 1970. Orders jobs of equal priority.
  std::int64_t created_ms = 0;
  /// The same time on the leader's clock.
  time_point created{};
  /// All tasks start together or not at all. A job that is not a gang is an array, whose tasks are
  /// independent.
  bool gang = false;
  /// Number of tasks, including those that are done.
  std::uint32_t total_tasks = 0;
  /// Resource request of each task.
  resources need;
  /// The job accepts any machine type; otherwise only those named in `types`.
  bool any_type = true;
  std::vector<std::string> types;
  /// Zone that the job is bound to; empty for any zone.
  zone_name zone;
  /// All tasks have to be in the same zone.
  bool one_zone = false;
  /// Each zone may have at most half of the tasks, rounded up.
  bool spread = false;
  /// The job may run on spot machines.
  bool spot = false;
  std::string image;
  /// Estimated run time of a task.
  duration estimate{};
  /// Interval between the checkpoints of a task; zero if it writes none.
  duration checkpoint{};
  /// Time that a task needs to save its progress when it is stopped.
  duration save{};
  /// Tasks to place now. For a gang, either all of its tasks or only those that were lost.
  std::vector<std::uint32_t> waiting;
  /// Tasks that are not proven to have ended.
  std::vector<placed_task_view> placed;
  /// Machines on which the job failed and is therefore not placed.
  std::set<machine_name> excluded_machines;
  /// No task is placed until tasks of an earlier attempt have ended.
  bool placement_suspended = false;
  /// No task is placed before this time, because the job backs off after a failure.
  time_point not_before{};
};

/// Quota of a team: a guarantee, and a limit in the fields that end in `_max`. 0 means no guarantee
/// or no limit.
struct team_view {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

/// Input of a scheduling cycle. The views are immutable and shared with the code that builds
/// snapshots, so that a snapshot of a large fleet is a list of pointers and only views of objects
/// that changed since the last snapshot are built again.
struct snapshot {
  time_point now;
  std::vector<machine_type> types;
  std::vector<team_view> teams;
  std::vector<std::shared_ptr<const machine_view>> machines;
  std::vector<std::shared_ptr<const job_view>> jobs;
  /// Pools that recently had no capacity for more machines.
  std::set<pool> refused_pools;
};

/// Decision to start a task on a machine.
struct start_decision {
  job_id job;
  std::uint32_t task = 0;
  machine_name machine;
};
/// Reason for stopping tasks: to make capacity for another job (`preempted`), or to move the job to
/// a better pool (`upgraded`).
enum class stop_reason : std::uint8_t { preempted, upgraded };
/// Decision to stop tasks of a job. The tasks count against the quota and occupy their machines
/// until they are proven to have ended.
struct stop_decision {
  job_id job;
  std::vector<std::uint32_t> tasks;
  stop_reason reason = stop_reason::preempted;
  /// Job that gets the capacity; for an upgrade, the stopped job itself.
  job_id for_job;
};

/// Output of a scheduling cycle.
struct decisions {
  std::vector<start_decision> starts;
  std::vector<stop_decision> stops;
  /// Number of machines to rent in each pool, in addition to those that are starting.
  std::map<pool, std::uint32_t> scale_out;
  /// Machines that scale-out planning counts on for waiting jobs.
  std::set<machine_name> needed_machines;
};

/// Settings of admission. Delays count from the creation of the job unless stated otherwise.
struct policy {
  /// Jobs that may run on spot machines prefer them to on-demand machines; otherwise the reverse.
  bool spot_first = true;
  /// Delay before variants for lower pools are created.
  duration variant_creation_delay = seconds(5);
  /// Delay before a variant for a lower pool is created while jobs wait for that pool as their best
  /// one. Also the time for which a kind of pool counts as exhausted after the cloud refused
  /// machines in all of its zones.
  duration contested_pool_delay = seconds(45);
  /// Delay before machines are rented in a lower pool.
  duration lower_pool_scale_out_delay = seconds(20);
  /// Delay before better variants are deleted, counted from the admission of the job.
  duration variant_deletion_delay = seconds(60);
  /// Shortest expected remaining run time for which an upgrade is worthwhile.
  duration upgrade_min_remaining = seconds(120);
  /// Time after which the reservation of a machine expires unless it is renewed.
  duration reservation_ttl = seconds(20);
  /// Waiting time after which a gang reserves machines.
  duration gang_reservation_delay = seconds(60);
  /// Largest share of the machines of a pool that may be reserved for all such gangs together.
  double gang_reservation_share = 0.03;
  /// Largest number of victim searches in one scheduling cycle.
  std::uint32_t max_victim_searches = 12;
};

}  // namespace gingerdrift::admission
