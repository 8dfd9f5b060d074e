#include "peers/peer_network.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::peers {

namespace {
const char* const messages_path = "/mesh";
constexpr auto heartbeat_period = seconds(1);
/// Shorter than the period, so that heartbeats to an unresponsive peer don't accumulate.
constexpr auto heartbeat_deadline = milliseconds(900);
constexpr auto unreachable_after = heartbeat_period * 3;
constexpr auto announce_deadline = seconds(1);

net::response encode_http_response(const peer_response& response) {
  return {200, encode(response), std::nullopt, false};
}

net::response error_response(int status) { return {status, "", std::nullopt, true}; }

/// Converts the HTTP response to a forwarded request into the message that is sent back to the
/// controller that forwarded it.
peer_response to_peer_response(const net::response& response) {
  peer_response result;
  result.status = response.status;
  result.body = response.body;
  if (response.retry_after) result.retry_after = response.retry_after->count();
  return result;
}

/// The inverse of to_peer_response(). The status is 0 if the peer did not respond, or its response
/// is not valid.
net::response to_user_response(const net::response& reply) {
  const auto response = reply.status == 200 ? decode_peer_response(reply.body) : std::nullopt;
  if (!response) return {};
  net::response result;
  result.status = response->status;
  result.body = response->body;
  if (response->retry_after >= 0) result.retry_after = seconds(response->retry_after);
  return result;
}
}  // namespace

peer_network::peer_network(net::runtime& runtime, node_name node,
                           const std::map<node_name, std::string>& peers, hooks owner)
    : runtime_(runtime), node_(std::move(node)), hooks_(std::move(owner)), timer_(runtime) {
  for (const auto& [name, address] : peers) peers_[name].address = address;
}

void peer_network::start() { send_heartbeats(); }

bool peer_network::recently_seen(const peer_state& peer) const {
  return peer.last_seen != time_point{} && runtime_.now() - peer.last_seen < unreachable_after;
}

message peer_network::new_message(message_kind kind) const {
  message result;
  result.kind = kind;
  result.node = node_;
  return result;
}

void peer_network::send(const std::string& address, const message& message, duration deadline,
                        net::reply_fn done) {
  runtime_.call(address, {"POST", messages_path, encode(message)}, deadline, std::move(done));
}

void peer_network::send_heartbeats() {
  const message heartbeat = new_message(message_kind::heartbeat);
  for (auto& [name, peer] : peers_) {
    detect_unreachable(name, peer);
    send(peer.address, heartbeat, heartbeat_deadline,
         guard_.wrap([this, node = name, sent = runtime_.now()](const net::response& reply) {
           handle_heartbeat_response(node, sent, reply);
         }));
  }
  timer_.start(heartbeat_period, [this] { send_heartbeats(); });
}

void peer_network::detect_unreachable(const node_name& name, peer_state& peer) const {
  if (peer.unreachable || peer.last_seen == time_point{} || recently_seen(peer)) return;
  peer.unreachable = true;
  spdlog::info("peer_unreachable node={}", name);
}

void peer_network::handle_heartbeat_response(const node_name& node, time_point sent,
                                             const net::response& reply) {
  if (reply.status != 200) return;
  const auto response = decode_peer_response(reply.body);
  if (!response) {
    spdlog::error("peer_response_malformed node={}", node);
    return;
  }
  peer_state& peer = peers_[node];
  if (std::exchange(peer.unreachable, false)) {
    spdlog::info("peer_reachable node={} silent_s={:.1f}", node,
                 to_seconds(runtime_.now() - peer.last_seen));
  }
  // The time at which the heartbeat was sent is used because the response may have been queued for
  // a long time while this process was stalled.
  peer.last_seen = std::max(peer.last_seen, sent);
  peer.store_reachable = response->store_reachable;
  peer.heartbeats_seen = response->heartbeats_seen;
  if (!response->leader.empty()) hooks_.leader_observed(response->leader, response->token);
}

peer_response peer_network::heartbeat_response() const {
  peer_response result;
  result.status = 200;
  result.store_reachable = hooks_.store_reachable();
  result.heartbeats_seen = hooks_.heartbeats_seen();
  const leader_identity leader = hooks_.leader();
  result.leader = leader.node;
  result.token = leader.token;
  return result;
}

void peer_network::handle(const net::request& request, const net::reply_fn& reply) {
  if (request.method != "POST" || request.target != messages_path)
    return reply(error_response(404));
  const auto message = decode_message(request.body);
  if (!message) {
    spdlog::error("peer_message_malformed");
    return reply(error_response(400));
  }
  switch (message->kind) {
    case message_kind::heartbeat:
      return reply(encode_http_response(heartbeat_response()));
    case message_kind::job_announced: {
      hooks_.job_announced(message->job);
      peer_response acknowledgement;
      acknowledgement.status = 200;
      return reply(encode_http_response(acknowledgement));
    }
    case message_kind::user_request:
      hooks_.handle_user_request({message->method, message->target, message->body},
                                 [reply](const net::response& response) {
                                   reply(encode_http_response(to_peer_response(response)));
                                 });
      return;
  }
}

void peer_network::forward(const node_name& node, const net::request& request, duration deadline,
                           net::reply_fn done) {
  const auto peer = peers_.find(node);
  if (peer == peers_.end()) return done({});
  message forwarded = new_message(message_kind::user_request);
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.body = request.body;
  send(peer->second.address, forwarded, deadline,
       [done = std::move(done)](const net::response& reply) { done(to_user_response(reply)); });
}

void peer_network::announce(const node_name& node, const job_id& job) {
  const auto peer = peers_.find(node);
  if (peer == peers_.end()) return;
  message announcement = new_message(message_kind::job_announced);
  announcement.job = job;
  // A lost announcement is not sent again, because it does little harm: the leader also watches the
  // store for new jobs.
  send(peer->second.address, announcement, announce_deadline, [](const net::response&) {});
}

}  // namespace gingerdrift::peers
