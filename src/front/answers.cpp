#include "front/answers.hpp"

#include <spdlog/spdlog.h>

#include "front/wire.hpp"

namespace gingerdrift::front {

void reply_later(const net::reply_fn& reply, const char* why) {
  constexpr auto retry_after = seconds(1);
  spdlog::debug("told to come back later why=\"{}\"", why);
  reply({503, write_error(why), retry_after, true});
}

const char* state_name(const store::job_state& state) {
  if (const auto* end = std::get_if<store::stored_end>(&state))
    return store::status_name(end->status());
  if (const auto* progress = std::get_if<store::in_progress>(&state))
    return progress->running > 0 ? "running" : "pending";
  return "";
}

void reply_state(const std::string& job, const store::job_state& state,
                 const net::reply_fn& reply) {
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  if (const auto* end = std::get_if<store::stored_end>(&state)) {
    done = end->tasks_done();
  } else if (const auto* progress = std::get_if<store::in_progress>(&state)) {
    done = progress->done;
    running = progress->running;
  } else {
    return reply_later(reply, "its state is not settled");
  }
  reply({200, write_progress(job, state_name(state), done, running), std::nullopt, false});
}

}  // namespace gingerdrift::front
