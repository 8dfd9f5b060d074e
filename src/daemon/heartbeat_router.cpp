#include "daemon/heartbeat_router.hpp"

#include <spdlog/spdlog.h>

#include "api/codec.hpp"

namespace gingerdrift::daemon {

namespace {
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_method_not_allowed = 405;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
/// A worker gives a heartbeat up after 4 s, including the time to connect. The answer to one that
/// has waited for longer might arrive too late, and a start in it would be lost.
constexpr auto max_wait = seconds(2);

void send_response(const net::reply_fn& reply, int status, std::string body) {
  reply({status, std::move(body), std::nullopt, false});
}
}  // namespace

heartbeat_router::heartbeat_router(net::runtime& runtime,
                                   const config::platform_settings& platform_settings,
                                   const leadership::leader_elector& elector,
                                   workers::lease_delegate& delegate, metrics& metrics,
                                   callbacks owner_callbacks)
    : runtime_(runtime),
      node_(platform_settings.node),
      elector_(elector),
      delegate_(delegate),
      metrics_(metrics),
      callbacks_(std::move(owner_callbacks)),
      recent_redirects_(platform_settings.worker_heartbeat_interval),
      queue_(runtime) {}

void heartbeat_router::handle(const net::request& message, const net::reply_fn& reply) {
  if (message.method != "POST") {
    send_response(reply, status_method_not_allowed, api::encode_error("method not allowed"));
    return;
  }
  queue_.run(
      [this, message, received = runtime_.now(), reply] { process(message, received, reply); });
}

void heartbeat_router::process(const net::request& message, time_point received,
                               const net::reply_fn& reply) {
  const stopwatch watch(metrics_.loop_activities.heartbeats);
  const duration waited = runtime_.now() - received;
  metrics_.heartbeat_waits.add(waited);
  if (waited > max_wait) {
    ++metrics_.expired_heartbeats;
    send_response(reply, status_unavailable, api::encode_error("too late"));
    return;
  }
  auto* term = callbacks_.term();
  if (term != nullptr && elector_.may_renew_worker_leases()) {
    dispatch_to_term(*term, message, reply);
  } else if (!try_dispatch_to_delegate(message, reply)) {
    redirect_to_leader(reply);
  }
}

/// Passes a heartbeat to the lease delegate if the delegate is responsible for the worker. Returns
/// whether it is; the delegate then answers the heartbeat.
bool heartbeat_router::try_dispatch_to_delegate(const net::request& message,
                                                const net::reply_fn& reply) {
  if (!delegate_.is_needed() || !callbacks_.store_reachable()) return false;
  auto heartbeat = workers::decode_heartbeat(message.body);
  if (!heartbeat || !delegate_.is_delegate_for(*heartbeat)) return false;
  delegate_.handle(std::move(*heartbeat), reply);
  return true;
}

void heartbeat_router::redirect_to_leader(const net::reply_fn& reply) {
  ++metrics_.redirected_heartbeats;
  recent_redirects_.add(runtime_.now());
  const node_name& leader = elector_.leader().node;
  send_response(reply, status_misdirected,
                workers::encode_redirect(leader == node_ ? node_name() : leader));
}

void heartbeat_router::dispatch_to_term(leader::leader_term& term, const net::request& message,
                                        const net::reply_fn& reply) {
  auto heartbeat = workers::decode_heartbeat(message.body);
  if (!heartbeat) {
    spdlog::error("heartbeat_malformed");
    send_response(reply, status_bad_request, api::encode_error("malformed report"));
    return;
  }
  ++metrics_.heartbeats;
  term.handle_heartbeat(std::move(*heartbeat), [reply](std::optional<std::string> commands) {
    if (commands) {
      send_response(reply, status_ok, std::move(*commands));
    } else {
      send_response(reply, status_misdirected, workers::encode_redirect(""));
    }
  });
}

}  // namespace gingerdrift::daemon
