#include "api/responses.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "api/codec.hpp"

namespace gingerdrift::api {

const char* text_of(retry_reason reason) {
  switch (reason) {
    case retry_reason::state_service_unreachable:
      return "the state service does not answer";
    case retry_reason::state_service_unreachable_here:
      return "the state service does not answer here";
    case retry_reason::not_leader:
      return "not the leader";
    case retry_reason::no_leader:
      return "no leader answers";
    case retry_reason::machine_types_unknown:
      return "machine types are not known yet";
    case retry_reason::too_many_submissions:
      return "too many submissions";
    case retry_reason::dependencies_unsupported:
      return "not every controller supports dependencies yet";
    case retry_reason::dependencies_undecided:
      return "awaits is not looked up yet";
    case retry_reason::cancellation_not_confirmed:
      return "not confirmed yet";
    case retry_reason::just_submitted:
      return "just submitted";
    case retry_reason::state_indeterminate:
      return "its state is not settled";
    case retry_reason::record_not_found:
      return "undecided";
    case retry_reason::record_outdated:
      return "what was read is too old";
    case retry_reason::record_unreadable:
      return "the record can't be read";
    case retry_reason::records_contradict:
      break;
  }
  return "its records contradict each other";
}

void retry_later(const net::reply_fn& reply, retry_reason reason) {
  constexpr auto retry_after = seconds(1);
  const char* text = text_of(reason);
  spdlog::debug("retry_requested reason=\"{}\"", text);
  reply({503, encode_error(text), retry_after, true});
}

void reply_json(const net::reply_fn& reply, int status, std::string body) {
  reply({status, std::move(body), std::nullopt, false});
}

void reply_error(const net::reply_fn& reply, int status, const std::string& why) {
  reply_json(reply, status, encode_error(why));
}

const char* state_name(const job_store::job_state& state) {
  if (const auto* terminal = std::get_if<job_store::terminal_state>(&state))
    return job_store::status_name(terminal->status());
  if (const auto* progress = std::get_if<job_store::in_progress>(&state))
    return progress->running > 0 ? "running" : "pending";
  return "";
}

void reply_state(const job_id& job, const job_store::job_state& state, const net::reply_fn& reply) {
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  if (const auto* terminal = std::get_if<job_store::terminal_state>(&state)) {
    done = terminal->tasks_done();
  } else if (const auto* progress = std::get_if<job_store::in_progress>(&state)) {
    done = progress->done;
    running = progress->running;
  } else {
    return retry_later(reply, retry_reason::state_indeterminate);
  }
  reply_json(reply, 200, encode_progress(job, state_name(state), done, running));
}

void reply_state_name(const job_id& job, const job_store::job_state& state,
                      const net::reply_fn& reply) {
  reply_json(reply, 200, encode_state(job, state_name(state)));
}

}  // namespace gingerdrift::api
