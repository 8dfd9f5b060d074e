#pragma once

#include <optional>
#include <string>
#include <vector>

#include "admission/types.hpp"
#include "store/job.hpp"

namespace gingerdrift::workers {

enum class exit_cause : std::uint8_t {
  none,
  done,
  stopped,
  peers_gone,
  alone,
  error,
  no_room,
  busy,
  unknown
};

struct reported_task {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t number = 0;  // of the try
  store::attempt_phase phase = store::attempt_phase::sent;
  exit_cause cause = exit_cause::none;
};

struct report {
  std::string machine;
  std::string address;
  admission::pool where;
  std::uint64_t session = 0;
  std::uint64_t seq = 0;
  std::uint64_t token = 0;
  std::optional<duration> notice;
  std::vector<reported_task> tasks;
};

enum class verb : std::uint8_t { start, stop, forget };
struct command {
  workers::verb verb = workers::verb::stop;
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t number = 0;
  duration grace{};
};

/// Empty when the text is not a report.
std::optional<report> read_report(const std::string& text);
std::string write_commands(std::uint64_t token, const std::vector<command>& commands,
                           std::optional<std::uint64_t> session = std::nullopt);
std::string redirect(const std::string& node);
const char* cause_name(exit_cause cause);

}  // namespace gingerdrift::workers
