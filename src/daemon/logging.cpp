#include "daemon/logging.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <string>

namespace gingerdrift::daemon {

namespace {
/// Returns the level with this name, or info if there is none.
spdlog::level::level_enum parse_log_level(const std::string& name) {
  if (name == "debug") return spdlog::level::debug;
  if (name == "error") return spdlog::level::err;
  return spdlog::level::info;
}
}  // namespace

void set_up_logging() {
  auto logger = spdlog::stderr_logger_st("gingerdrift");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(parse_log_level(level == nullptr ? "info" : level));
  // Every record is flushed at once, so that the last records before the process is killed are not
  // lost.
  spdlog::flush_on(spdlog::level::debug);
}

}  // namespace gingerdrift::daemon
