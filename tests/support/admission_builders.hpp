#pragma once

#include <memory>
#include <string>

#include "admission/types.hpp"

namespace gingerdrift::testing {

/// Snapshot of a small fleet for unit tests of admission. Machines are of the type `g8`, with 64
/// CPUs and 8 GPUs, in the zones `a` and `b`. There is one team, without a quota, and the time is
/// 1000 s.
struct admission_fleet {
  admission::snapshot snapshot;

  admission_fleet() {
    snapshot.now = time_point(seconds(1000));
    admission::machine_type type;
    type.name = "g8";
    type.size = size();
    type.price = 30;
    type.spot_price = 8;
    type.zones = {zone_name("a"), zone_name("b")};
    snapshot.types.push_back(type);
    snapshot.teams.push_back({.name = "red"});
  }

  /// Returns the resources of a machine.
  static admission::resources size() { return {64, 8, 384}; }
  /// Returns the pool of the machine type in a zone.
  static admission::pool pool_in(const std::string& zone, bool spot = false) {
    return {"g8", zone_name(zone), spot};
  }

  /// Adds an empty machine that accepts tasks. The result may be modified until the snapshot is
  /// used.
  admission::machine_view& add_machine(const std::string& name, const std::string& zone = "a") {
    auto machine = std::make_shared<admission::machine_view>();
    machine->name = machine_name(name);
    machine->pool = pool_in(zone);
    machine->free = size();
    machine->ready = true;
    snapshot.machines.push_back(machine);
    return *machine;
  }
};

/// Returns an array with one waiting task that requests 6 CPUs, 1 GPU and 36 GB of memory.
inline admission::job_view make_job(const std::string& id) {
  admission::job_view job;
  job.id = job_id(id);
  job.total_tasks = 1;
  job.waiting = {0};
  job.need = {6, 1, 36};
  job.created = time_point(seconds(1000));
  job.image = "image";
  return job;
}

/// Returns a gang bound to one zone, all of whose tasks are waiting and request a whole machine
/// each.
inline admission::job_view make_gang_of_whole_machines(const std::string& id, std::uint32_t tasks,
                                                       time_point created) {
  auto gang = make_job(id);
  gang.gang = true;
  gang.one_zone = true;
  gang.total_tasks = tasks;
  gang.need = admission_fleet::size();
  gang.created = created;
  gang.waiting.clear();
  for (std::uint32_t task = 0; task < tasks; ++task) gang.waiting.push_back(task);
  return gang;
}

/// Returns a task that has been running in zone `a` since `since`.
inline admission::placed_task_view make_running_task(std::uint32_t task, const std::string& machine,
                                                     time_point since) {
  admission::placed_task_view placed;
  placed.task = task;
  placed.machine = machine_name(machine);
  placed.pool = admission_fleet::pool_in("a");
  placed.running = true;
  placed.running_since = since;
  return placed;
}

}  // namespace gingerdrift::testing
