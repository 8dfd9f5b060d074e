#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/callback_guard.hpp"
#include "net/timer.hpp"
#include "net/transport.hpp"
#include "peers/codec.hpp"

namespace gingerdrift::peers {

/// Identifies a leader and its term. An empty node name means that no leader is known.
struct leader_identity {
  node_name node;
  fencing_token token;
};

/// The state of another controller, as observed by this one.
struct peer_state {
  std::string address;
  time_point last_seen{};             // when the last heartbeat that got a response was sent
  bool unreachable = false;           // logged as unreachable, and no response since
  bool store_reachable = false;       // whether the key-value store responds to the peer
  std::uint64_t heartbeats_seen = 0;  // number of workers' heartbeats that it received recently
};

/// Exchanges messages with the other controllers: heartbeats, forwarded users' requests and
/// announcements of new jobs, as msgpack bodies over HTTP. Not thread-safe: to be used on one
/// thread.
class peer_network {
 public:
  /// The owner's callbacks.
  struct hooks {
    /// Handles a user's request that a peer has forwarded.
    std::function<void(const net::request&, net::reply_fn)> handle_user_request;
    /// Called when a peer announces that it has stored a job.
    std::function<void(const job_id& job)> job_announced;
    /// For responses to heartbeats: returns whether the key-value store responds to this
    /// controller.
    std::function<bool()> store_reachable;
    /// For responses to heartbeats: returns how many workers' heartbeats were received recently.
    std::function<std::uint64_t()> heartbeats_seen;
    /// For responses to heartbeats: returns the leader that this controller knows.
    std::function<leader_identity()> leader;
    /// Called when a peer has named a leader in its response to a heartbeat.
    std::function<void(const node_name& node, fencing_token token)> leader_observed;
  };

  /// `peers`: addresses of the other controllers, by name.
  peer_network(net::runtime& runtime, node_name node, const std::map<node_name, std::string>& peers,
               hooks owner);
  ~peer_network() = default;
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;

  /// Sends heartbeats to all peers, now and every second.
  void start();
  /// Handles a request that arrived at the listening address for peers.
  void handle(const net::request& request, const net::reply_fn& reply);
  /// Forwards a user's request to another controller. Status 0 means that the node did not respond.
  void forward(const node_name& node, const net::request& request, duration deadline,
               net::reply_fn done);
  /// Notifies a peer that a job was stored. The loss of an announcement is harmless.
  void announce(const node_name& node, const job_id& job);
  /// Returns the state of all other controllers.
  const std::map<node_name, peer_state>& peers() const { return peers_; }
  /// Reports whether the peer has responded to one of the last few heartbeats.
  bool recently_seen(const peer_state& peer) const;

 private:
  void send_heartbeats();
  void detect_unreachable(const node_name& name, peer_state& peer) const;
  void handle_heartbeat_response(const node_name& node, time_point sent,
                                 const net::response& reply);
  peer_response heartbeat_response() const;
  message new_message(message_kind kind) const;
  void send(const std::string& address, const message& message, duration deadline,
            net::reply_fn done);

  net::runtime& runtime_;
  node_name node_;
  std::map<node_name, peer_state> peers_;
  hooks hooks_;
  net::timer timer_;
  callback_guard guard_;
};

}  // namespace gingerdrift::peers
