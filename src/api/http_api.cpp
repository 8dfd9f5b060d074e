#include "api/http_api.hpp"

#include "api/responses.hpp"

namespace gingerdrift::api {

namespace {
/// How long a user waits for the response to a query.
constexpr duration users_wait = seconds(2);
const std::string health_path = "/healthz";
const std::string status_path = "/status";
const std::string jobs_path = "/work";
const std::string cancel_suffix = "/withdraw";

void reply_method_not_allowed(const net::reply_fn& reply) {
  reply_error(reply, 405, "method not allowed");
}

/// Returns why the leader's response to a forwarded query can't be passed on to the user, or
/// nothing if it can. `age`: the time since the query was forwarded.
std::optional<forwarding_failure> find_failure(const net::response& leader_reply, duration age) {
  if (leader_reply.status == 0) return forwarding_failure::no_response;
  const bool is_definite = leader_reply.status == 200 || leader_reply.status == 404;
  if (!is_definite) return forwarding_failure::refused;
  if (age > max_response_age) return forwarding_failure::outdated;
  return std::nullopt;
}

void reply_not_found(const net::reply_fn& reply) { reply_error(reply, 404, "no such thing"); }
}  // namespace

http_api::http_api(net::runtime& runtime, kvstore::client& store, const options& options,
                   std::vector<config::team> teams, node_services& services)
    : runtime_(runtime),
      services_(services),
      terminal_states_(options.terminal_cache_capacity),
      state_reader_(runtime, store, terminal_states_, statistics_, options.cancellation),
      submissions_({.runtime = runtime,
                    .store = store,
                    .services = services,
                    .terminal_states = terminal_states_,
                    .statistics = statistics_,
                    .state_reader = state_reader_},
                   options.submissions, std::move(teams), options.node),
      forwarder_(runtime, services) {}

void http_api::handle(const net::request& message, bool forwarded, const net::reply_fn& reply) {
  const std::string path = message.target.substr(0, message.target.find('?'));
  if (path == health_path) {
    if (message.method != "GET") return reply_method_not_allowed(reply);
    if (!services_.healthy())
      return retry_later(statistics_, reply, retry_reason::state_service_unreachable_here);
    reply_json(reply, 200, R"({"status":"ok"})");
  } else if (path == status_path) {
    if (message.method != "GET") return reply_method_not_allowed(reply);
    reply_json(reply, 200, services_.status());
  } else if (path == jobs_path) {
    if (message.method != "POST") return reply_method_not_allowed(reply);
    submissions_.handle(message, forwarded, reply);
  } else if (path.starts_with(jobs_path + "/")) {
    handle_job(path, message, forwarded, reply);
  } else if (forwarded && path == query_batch_target) {
    answer_query_batch(message, reply);
  } else {
    reply_not_found(reply);
  }
}

/// Answers the queries that another controller has collected, from the leader's memory only: a
/// query that needs the state service would delay all others.
void http_api::answer_query_batch(const net::request& message, const net::reply_fn& reply) {
  if (!services_.is_leader()) return retry_later(statistics_, reply, retry_reason::not_leader);
  const auto jobs = decode_query_batch(message.body);
  if (!jobs) return reply_error(reply, 400, "malformed");
  std::vector<query_answer> answers;
  answers.reserve(jobs->size());
  for (const auto& id : *jobs) answers.push_back(answer_from_memory(id));
  reply({200, encode_query_answers(answers), std::nullopt, false});
}

query_answer http_api::answer_from_memory(const job_id& id) {
  if (const auto state = terminal_states_.find(id)) {
    statistics_.answers.add(answer_source::terminal_state_cache);
    return {200, encode_job_state(id, *state)};
  }
  const auto state = services_.state_of(id);
  if (!state || std::holds_alternative<job_store::indeterminate>(*state)) return {503, {}};
  statistics_.answers.add(answer_source::leader_memory);
  return {200, encode_job_state(id, *state)};
}

void http_api::handle_job(const std::string& path, const net::request& message, bool forwarded,
                          const net::reply_fn& reply) {
  std::string name = path.substr(jobs_path.size() + 1);
  const bool is_cancellation = name.size() > cancel_suffix.size() && name.ends_with(cancel_suffix);
  if (is_cancellation) name.resize(name.size() - cancel_suffix.size());
  if (!is_valid_job_id(name)) return reply_not_found(reply);
  if (message.method != (is_cancellation ? "POST" : "GET")) return reply_method_not_allowed(reply);
  const job_request request{job_id(name), message, forwarded};
  if (is_cancellation) {
    cancel(request, reply);
  } else {
    read_state(request, count_if_late(reply));
  }
}

net::reply_fn http_api::count_if_late(const net::reply_fn& reply) {
  return guard_.wrap([this, received = runtime_.now(), reply](const net::response& response) {
    if (runtime_.now() - received > users_wait) ++statistics_.late_responses;
    reply(response);
  });
}

void http_api::read_state(const job_request& request, const net::reply_fn& reply) {
  const job_id& id = request.id;
  if (const auto state = terminal_states_.find(id)) {
    statistics_.answers.add(answer_source::terminal_state_cache);
    return reply_state(statistics_, id, *state, reply);
  }
  if (services_.is_leader()) {
    const auto state = services_.state_of(id);
    // If the leader's memory has no definite state, the records in the state service do.
    if (!state || std::holds_alternative<job_store::indeterminate>(*state))
      return state_reader_.read(id, reply);
    statistics_.answers.add(answer_source::leader_memory);
    return reply_state(statistics_, id, *state, reply);
  }
  if (request.forwarded) return retry_later(statistics_, reply, retry_reason::not_leader);
  forwarder_.forward(
      id, guard_.wrap([this, id, reply](const net::response& leader_reply, duration age) {
        if (const auto failure = find_failure(leader_reply, age)) {
          statistics_.forwarding_failures.add(*failure);
          return state_reader_.read(id, reply);
        }
        statistics_.answers.add(answer_source::leader_response);
        reply(leader_reply);
      }));
}

void http_api::cancel(const job_request& request, const net::reply_fn& reply) {
  const job_id& id = request.id;
  if (const auto state = terminal_states_.find(id)) return reply_state_name(id, *state, reply);
  if (services_.is_leader()) {
    if (!services_.state_of(id)) return cancel_job_not_in_memory(id, reply);
    services_.cancel(
        id, guard_.wrap([this, id, reply](std::optional<job_store::terminal_state> state) {
          if (!state)
            return retry_later(statistics_, reply, retry_reason::cancellation_not_confirmed);
          reply_state_name(id, *state, reply);
        }));
    return;
  }
  if (request.forwarded) return retry_later(statistics_, reply, retry_reason::not_leader);
  services_.forward_to_leader(request.message,
                              guard_.wrap([this, reply](const net::response& leader_reply) {
                                if (leader_reply.status == 0)
                                  return retry_later(statistics_, reply, retry_reason::no_leader);
                                reply(leader_reply);
                              }));
}

/// Handles the cancellation of a job that is not in the leader's memory: the job has ended, was
/// never submitted, or is so new that the leader has not read it yet.
void http_api::cancel_job_not_in_memory(const job_id& id, const net::reply_fn& reply) {
  state_reader_.read(id, guard_.wrap([this, id, reply](const net::response& state) {
    if (state.status == 404) return reply(state);
    if (const auto terminal = terminal_states_.find(id))
      return reply_state_name(id, *terminal, reply);
    services_.notify_leader_of_job(id);
    retry_later(statistics_, reply, retry_reason::just_submitted);
  }));
}

}  // namespace gingerdrift::api
