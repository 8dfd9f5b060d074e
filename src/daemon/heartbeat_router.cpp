#include "daemon/heartbeat_router.hpp"

#include <spdlog/spdlog.h>

#include "api/codec.hpp"

namespace gingerdrift::daemon {

namespace {
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_method_not_allowed = 405;
constexpr int status_misdirected = 421;

void answer(const net::reply_fn& reply, int status, std::string body) {
  reply({status, std::move(body), std::nullopt, false});
}
}  // namespace

heartbeat_router::heartbeat_router(net::runtime& runtime, const config::platform_settings& platform,
                                   const leadership::leader_elector& elector,
                                   workers::lease_delegate& delegate, metrics& metrics,
                                   callbacks owner)
    : runtime_(runtime),
      node_(platform.node),
      elector_(elector),
      delegate_(delegate),
      metrics_(metrics),
      callbacks_(std::move(owner)),
      redirected_(platform.worker_heartbeat_interval) {}

void heartbeat_router::handle(const net::request& message, const net::reply_fn& reply) {
  if (message.method != "POST") {
    answer(reply, status_method_not_allowed, api::write_error("method not allowed"));
    return;
  }
  const stopwatch watch(metrics_.heartbeat_time);
  auto* term = callbacks_.term();
  if (term != nullptr && elector_.may_renew_worker_leases()) {
    give_to_term(*term, message, reply);
  } else if (!give_to_delegate(message, reply)) {
    redirect_to_leader(reply);
  }
}

/// Returns whether the delegate answers the worker.
bool heartbeat_router::give_to_delegate(const net::request& message, const net::reply_fn& reply) {
  if (!delegate_.needed() || !callbacks_.store_reachable()) return false;
  auto heartbeat = workers::decode_heartbeat(message.body);
  if (!heartbeat || !delegate_.is_delegate_for(*heartbeat)) return false;
  delegate_.handle(std::move(*heartbeat), reply);
  return true;
}

void heartbeat_router::redirect_to_leader(const net::reply_fn& reply) {
  ++metrics_.redirected_heartbeats;
  redirected_.add(runtime_.now());
  const node_name& leader = elector_.leader().node;
  answer(reply, status_misdirected,
         workers::encode_redirect(leader == node_ ? node_name() : leader));
}

void heartbeat_router::give_to_term(leader::leader_term& term, const net::request& message,
                                    const net::reply_fn& reply) {
  auto heartbeat = workers::decode_heartbeat(message.body);
  if (!heartbeat) {
    spdlog::error("heartbeat_malformed");
    answer(reply, status_bad_request, api::write_error("malformed report"));
    return;
  }
  ++metrics_.heartbeats;
  term.handle_heartbeat(std::move(*heartbeat), [reply](std::optional<std::string> commands) {
    if (commands) {
      answer(reply, status_ok, std::move(*commands));
    } else {
      answer(reply, status_misdirected, workers::encode_redirect(""));
    }
  });
}

}  // namespace gingerdrift::daemon
