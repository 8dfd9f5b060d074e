#include "api/http_api.hpp"

#include "api/responses.hpp"

namespace gingerdrift::api {

namespace {
const std::string health_path = "/healthz";
const std::string status_path = "/status";
const std::string jobs_path = "/work";
const std::string cancel_suffix = "/withdraw";

void reply_wrong_method(const net::reply_fn& reply) {
  reply_error(reply, 405, "method not allowed");
}

void reply_not_found(const net::reply_fn& reply) { reply_error(reply, 404, "no such thing"); }
}  // namespace

http_api::http_api(net::runtime& runtime, kvstore::client& store, const options& options,
                   std::vector<config::team> teams, node_services& services)
    : runtime_(runtime),
      services_(services),
      terminal_states_(options.terminal_cache_capacity),
      states_(runtime, store, terminal_states_, options.cancellation),
      submissions_({.runtime = runtime,
                    .store = store,
                    .services = services,
                    .terminal_states = terminal_states_,
                    .states = states_},
                   options.submissions, std::move(teams), options.node) {}

void http_api::handle(const net::request& message, bool forwarded, const net::reply_fn& reply) {
  const std::string path = message.target.substr(0, message.target.find('?'));
  if (path == health_path) {
    if (message.method != "GET") return reply_wrong_method(reply);
    if (!services_.healthy()) return retry_later(reply, retry_reason::state_service_silent_here);
    reply_json(reply, 200, R"({"status":"ok"})");
  } else if (path == status_path) {
    if (message.method != "GET") return reply_wrong_method(reply);
    reply_json(reply, 200, services_.status());
  } else if (path == jobs_path) {
    if (message.method != "POST") return reply_wrong_method(reply);
    submissions_.handle(message, forwarded, reply);
  } else if (path.starts_with(jobs_path + "/")) {
    handle_job(path, message, forwarded, reply);
  } else {
    reply_not_found(reply);
  }
}

void http_api::handle_job(const std::string& path, const net::request& message, bool forwarded,
                          const net::reply_fn& reply) {
  std::string name = path.substr(jobs_path.size() + 1);
  const bool cancels = name.size() > cancel_suffix.size() && name.ends_with(cancel_suffix);
  if (cancels) name.resize(name.size() - cancel_suffix.size());
  if (!is_valid_job_id(name)) return reply_not_found(reply);
  if (message.method != (cancels ? "POST" : "GET")) return reply_wrong_method(reply);
  const job_request request{job_id(name), message, forwarded};
  if (cancels) {
    cancel(request, reply);
  } else {
    read_state(request, reply);
  }
}

void http_api::read_state(const job_request& request, const net::reply_fn& reply) {
  const job_id& id = request.id;
  if (const auto state = terminal_states_.find(id)) return reply_state(id, *state, reply);
  if (services_.is_leader()) {
    const auto state = services_.state_of(id);
    // What the memory can't settle, the state service can.
    if (!state || std::holds_alternative<job_store::indeterminate>(*state))
      return states_.read(id, reply);
    return reply_state(id, *state, reply);
  }
  if (request.forwarded) return retry_later(reply, retry_reason::not_leader);
  const auto leader_answered = [this, id, sent = runtime_.now(),
                                reply](const net::response& leader_reply) {
    const bool answered = leader_reply.status == 200 || leader_reply.status == 404;
    const bool outdated = runtime_.now() - sent > longest_answer_age;
    if (answered && !outdated) return reply(leader_reply);
    states_.read(id, reply);
  };
  services_.forward_to_leader(request.message, guard_.wrap(leader_answered));
}

void http_api::cancel(const job_request& request, const net::reply_fn& reply) {
  const job_id& id = request.id;
  if (const auto state = terminal_states_.find(id)) return reply_state_name(id, *state, reply);
  if (services_.is_leader()) {
    if (!services_.state_of(id)) return cancel_unknown(id, reply);
    services_.cancel(id, [id, reply](std::optional<job_store::terminal_state> state) {
      if (!state) return retry_later(reply, retry_reason::cancellation_not_confirmed);
      reply_state_name(id, *state, reply);
    });
    return;
  }
  if (request.forwarded) return retry_later(reply, retry_reason::not_leader);
  services_.forward_to_leader(request.message, [reply](const net::response& leader_reply) {
    if (leader_reply.status == 0) return retry_later(reply, retry_reason::no_leader);
    reply(leader_reply);
  });
}

/// Not in the leader's memory: over, never submitted, or so new that it has yet to be read.
void http_api::cancel_unknown(const job_id& id, const net::reply_fn& reply) {
  states_.read(id, guard_.wrap([this, id, reply](const net::response& state) {
    if (state.status == 404) return reply(state);
    if (const auto terminal = terminal_states_.find(id))
      return reply_state_name(id, *terminal, reply);
    services_.notify_leader_of_job(id);
    retry_later(reply, retry_reason::just_submitted);
  }));
}

}  // namespace gingerdrift::api
