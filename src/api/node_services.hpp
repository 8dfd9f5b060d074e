#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "admission/types.hpp"
#include "job_store/job_state.hpp"
#include "net/transport.hpp"

namespace gingerdrift::api {

/// What the users' HTTP API needs of the controller it runs on. All calls and callbacks are made on
/// the controller's thread.
class node_services {
 public:
  /// How the job ended; nothing: that could not be stored.
  using cancelled_fn = std::function<void(std::optional<job_store::terminal_state>)>;

  virtual ~node_services() = default;
  /// Whether this controller holds the leader's lease and has read all records. Without that its
  /// memory answers nothing.
  virtual bool is_leader() const = 0;
  /// Leader only: from its memory. Nothing if the job isn't there: it may be over, never accepted,
  /// or too new to have been read.
  virtual std::optional<job_store::job_state> state_of(const job_id& job) = 0;
  /// Leader only. Calls back once the job's final record is stored, or could not be.
  virtual void cancel(const job_id& job, cancelled_fn done) = 0;
  /// A job was stored, here or lately: the leader should read it.
  virtual void notify_leader_of_job(const job_id& job) = 0;
  /// Passes a request on to the leader. Status 0: no leader is known, or it did not answer.
  virtual void forward_to_leader(const net::request& message, net::reply_fn done) = 0;
  /// Passes a request on to a controller whose store works. Status 0: there is none, or it did not
  /// answer.
  virtual void forward_to_peer_with_store(const net::request& message, net::reply_fn done) = 0;
  /// Whether users may be sent to this controller.
  virtual bool healthy() const = 0;
  /// Whether the state service answers this controller.
  virtual bool store_reachable() const = 0;
  /// The machine types that the cloud offers; empty: not known yet.
  virtual const std::vector<admission::machine_type>& machine_types() const = 0;
  /// The status view, as JSON.
  virtual std::string status() = 0;
  /// Whether every controller runs a version that knows of dependencies.
  virtual bool dependencies_supported() const = 0;
};

}  // namespace gingerdrift::api
