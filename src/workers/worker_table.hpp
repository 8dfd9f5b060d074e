#pragma once

#include <map>

#include "net/transport.hpp"
#include "workers/worker.hpp"

namespace gingerdrift::workers {

/// All known workers by machine, and the rules that decide whether a worker accepts tasks.
class worker_table {
 public:
  /// `heartbeat_interval` is that of every worker, `token` that of the current term.
  worker_table(net::runtime& runtime, duration heartbeat_interval, fencing_token token);

  /// Returns the worker of the machine, or null if the machine is unknown.
  worker* find(const machine_name& machine);
  /// Returns the worker of the machine, and adds one if the machine is unknown.
  worker& find_or_add(const machine_name& machine);
  void erase(const machine_name& machine) { workers_.erase(machine); }
  std::map<machine_name, worker>& all() { return workers_; }
  const std::map<machine_name, worker>& all() const { return workers_; }

  /// Records an attempt on the worker's machine, which it occupies until it is released.
  void hold(worker& holder, const task_id& task);
  /// Removes an attempt from the worker's machine. If no other attempt is left, the machine is idle
  /// from now on.
  void release(worker& holder, const task_id& task);

  /// Reports whether the worker has missed several heartbeats in a row, or has sent none in this
  /// term.
  bool heartbeat_overdue(const worker& candidate) const;
  /// Reports whether tasks may be placed on the worker's machine: its heartbeats arrive, the worker
  /// has received this term's token or was rented in this term, and the machine is neither
  /// unschedulable nor running unknown tasks.
  bool accepts_tasks(const worker& candidate) const;

 private:
  net::runtime& runtime_;
  duration heartbeat_interval_;
  fencing_token token_;
  std::map<machine_name, worker> workers_;
};

}  // namespace gingerdrift::workers
