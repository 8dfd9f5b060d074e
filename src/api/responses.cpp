#include "api/responses.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "api/codec.hpp"

namespace gingerdrift::api {

void retry_later(answer_statistics& statistics, const net::reply_fn& reply, retry_reason reason) {
  statistics.retries.add(reason);
  constexpr auto retry_after = seconds(1);
  spdlog::debug("retry_requested reason={}", log_value(reason));
  reply({503, encode_error(text_of(reason)), retry_after, true});
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

std::string encode_job_state(const job_id& job, const job_store::job_state& state) {
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  if (const auto* terminal = std::get_if<job_store::terminal_state>(&state)) {
    done = terminal->tasks_done();
  } else if (const auto* progress = std::get_if<job_store::in_progress>(&state)) {
    done = progress->done;
    running = progress->running;
  }
  return encode_progress(job, state_name(state), done, running);
}

void reply_state(answer_statistics& statistics, const job_id& job,
                 const job_store::job_state& state, const net::reply_fn& reply) {
  if (std::holds_alternative<job_store::indeterminate>(state))
    return retry_later(statistics, reply, retry_reason::state_indeterminate);
  reply_json(reply, 200, encode_job_state(job, state));
}

void reply_state_name(const job_id& job, const job_store::job_state& state,
                      const net::reply_fn& reply) {
  reply_json(reply, 200, encode_state(job, state_name(state)));
}

}  // namespace gingerdrift::api
