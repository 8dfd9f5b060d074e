// Turns logging off during tests, unless the environment variable SIM_LOG is set.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

namespace {

/// Sets the log level before the first test: debug if SIM_LOG is set, otherwise off.
class log_level_environment : public ::testing::Environment {
 public:
  void SetUp() override {
    const bool logging_enabled = std::getenv("SIM_LOG") != nullptr;
    spdlog::set_level(logging_enabled ? spdlog::level::debug : spdlog::level::off);
  }
};

[[maybe_unused]] const auto* const registered_environment =
    ::testing::AddGlobalTestEnvironment(new log_level_environment);  // owned by GoogleTest

}  // namespace
