#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "admission/types.hpp"
#include "job_store/job_state.hpp"
#include "net/transport.hpp"

namespace gingerdrift::api {

/// The interface through which the HTTP API uses the controller that it is part of. All calls and
/// callbacks are made on the controller's thread.
class node_services {
 public:
  /// Receives how the job ended, or nothing if its end could not be stored.
  using cancelled_fn = std::function<void(std::optional<job_store::terminal_state>)>;

  virtual ~node_services() = default;
  /// Reports whether this controller holds the leader lease and has read all records. Otherwise its
  /// memory must not be used to answer requests.
  virtual bool is_leader() const = 0;
  /// Leader only. Returns the job's state from memory, or nothing if the job is not in memory: it
  /// may have ended, may never have been accepted, or may be too new to have been read.
  virtual std::optional<job_store::job_state> state_of(const job_id& job) = 0;
  /// Leader only. Cancels the job, and calls `done` once its final record is stored or could not be
  /// stored.
  virtual void cancel(const job_id& job, cancelled_fn done) = 0;
  /// Notifies the leader of a job that was stored, by this controller or recently by any other, so
  /// that the leader reads it.
  virtual void notify_leader_of_job(const job_id& job) = 0;
  /// Forwards a request to the leader. Calls `done` with its response; status 0 means that no
  /// leader is known or that it did not answer.
  virtual void forward_to_leader(const net::request& message, net::reply_fn done) = 0;
  /// Forwards a request to a peer that can reach the state service. Calls `done` with its response;
  /// status 0 means that there is no such peer or that it did not answer.
  virtual void forward_to_peer_with_store(const net::request& message, net::reply_fn done) = 0;
  /// Reports whether users' requests may be routed to this controller.
  virtual bool healthy() const = 0;
  /// Reports whether the state service answers this controller.
  virtual bool store_reachable() const = 0;
  /// Returns the machine types that the cloud offers; empty if they are not known yet.
  virtual const std::vector<admission::machine_type>& machine_types() const = 0;
  /// Returns the status report of this controller as JSON.
  virtual std::string status() = 0;
  /// Reports whether every controller runs a version that supports dependencies between jobs.
  virtual bool dependencies_supported() const = 0;
};

}  // namespace gingerdrift::api
