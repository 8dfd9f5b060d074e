#include "config/settings.hpp"
#include "config/connection_budget.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace gingerdrift::testing {

namespace {

/// Writes a settings file whose name contains that of the running test. Returns its path.
std::string write_file(const std::string& text) {
  const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
  const auto path = std::filesystem::temp_directory_path() /
                    ("gingerdrift-" + std::string(info->name()) + ".settings");
  std::ofstream(path) << text;
  return path.string();
}

const char* const valid_platform_file = R"(
host_name = "node-0"
front = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
unknown_field = 3
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params.workers]
lease_s = 24.0
cancel_s = 44.0
)";

/// Returns the message of the error that `read` throws for a file with this text, or an empty
/// string if it throws none.
template <typename reader>
std::string error_of(const reader& read, const std::string& text) {
  try {
    read(write_file(text));
  } catch (const config::settings_error& error) {
    return error.what();
  }
  return {};
}

std::string platform_error(const std::string& text) {
  return error_of(config::read_platform_settings, text);
}

std::string operator_error(const std::string& text) {
  return error_of(config::read_operator_settings, text);
}

std::string valid_file_replacing(const std::string& from, const std::string& to) {
  std::string text = valid_platform_file;
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST(settings, invalid_platform_fields_are_rejected_with_their_path) {
  EXPECT_EQ(platform_error(valid_platform_file), "") << "unknown fields are ignored";
  EXPECT_NE(platform_error("x = ").find("TOML"), std::string::npos);
  EXPECT_NE(
      platform_error(valid_file_replacing("host_name", "other")).find("host_name: is missing"),
      std::string::npos);
  EXPECT_NE(platform_error(valid_file_replacing("10.2.0.2:8443", "cloud")).find("services.cloud"),
            std::string::npos);
  EXPECT_NE(platform_error(valid_file_replacing("24.0", "-1")).find("params.workers.lease_s"),
            std::string::npos);
  EXPECT_NE(platform_error(valid_file_replacing("24.0", "\"long\"")).find("must be a number"),
            std::string::npos);
  EXPECT_NE(platform_error(valid_file_replacing("44.0", "0")).find("params.workers.cancel_s"),
            std::string::npos);
  EXPECT_EQ(platform_error(valid_file_replacing("44.0", "20")), "")
      << "a value below lease_s is valid: cancellations are confirmed once the tasks are gone";
}

TEST(settings, announced_state_service_limits_are_read_and_invalid_ones_rejected) {
  const std::string current =
      std::string(valid_platform_file) + "[params.state]\nvalue_kb = 8.0\nrps = 90\n";
  EXPECT_FALSE(
      config::read_platform_settings(write_file(current)).announced_state_limits.has_value());
  const auto file_announcing = [&](const std::string& fields) {
    return current + "[params.state.next]\n" + fields;
  };
  const auto read = config::read_platform_settings(write_file(file_announcing("value_kb = 2.0\n")));
  ASSERT_TRUE(read.announced_state_limits.has_value());
  EXPECT_EQ(read.announced_state_limits->value_kb, 2.0);
  EXPECT_EQ(read.announced_state_limits->requests_per_s, 90)
      << "a field that is not announced keeps its current value";
  EXPECT_EQ(kvstore::writable_sizes(read.state_limits, read.announced_state_limits).value_kb, 2.0);
  for (const auto* invalid : {"value_kb = 0.0\n", "value_kb = -2\n", "value_kb = \"small\"\n"})
    EXPECT_NE(platform_error(file_announcing(invalid)).find("params.state.next.value_kb"),
              std::string::npos)
        << invalid;
  EXPECT_NE(platform_error(file_announcing("txn_ops = 0\n")).find("params.state.next.txn_ops"),
            std::string::npos);
  EXPECT_NE(platform_error(file_announcing("write_rps = []\n")).find("params.state.next.write_rps"),
            std::string::npos);
  EXPECT_NE(platform_error(current + "next = 3\n").find("params.state.next"), std::string::npos);
}

TEST(settings, sample_operator_file_contains_the_defaults) {
  const auto sample = config::read_operator_settings(std::string(GINGERDRIFT_SOURCE_DIR) +
                                                     "/config/gingerdrift.xml");
  const config::operator_settings defaults;
  EXPECT_EQ(sample.leader_lease, defaults.leader_lease);
  EXPECT_EQ(sample.pool_order, defaults.pool_order);
  EXPECT_EQ(sample.variant_creation_delay, defaults.variant_creation_delay);
  EXPECT_EQ(sample.lower_pool_scale_out_delay, defaults.lower_pool_scale_out_delay);
  EXPECT_EQ(sample.variant_deletion_delay, defaults.variant_deletion_delay);
  EXPECT_EQ(sample.upgrade_min_remaining, defaults.upgrade_min_remaining);
  EXPECT_EQ(sample.reservation_ttl, defaults.reservation_ttl);
  EXPECT_EQ(sample.contested_pool_delay, defaults.contested_pool_delay);
  EXPECT_EQ(sample.gang_reservation_delay, defaults.gang_reservation_delay);
  EXPECT_EQ(sample.gang_reservation_share, defaults.gang_reservation_share);
  EXPECT_EQ(sample.min_scheduling_interval, defaults.min_scheduling_interval);
  EXPECT_EQ(sample.idle_machine_timeout, defaults.idle_machine_timeout);
  EXPECT_EQ(sample.refusal_backoff, defaults.refusal_backoff);
  EXPECT_EQ(sample.boot_timeout_factor, defaults.boot_timeout_factor);
  EXPECT_EQ(sample.missed_heartbeat_timeout, defaults.missed_heartbeat_timeout);
  EXPECT_EQ(sample.machines_max, defaults.machines_max);
  EXPECT_EQ(sample.quarantine_after_failed_jobs, defaults.quarantine_after_failed_jobs);
  EXPECT_EQ(sample.failing_job_backoff, defaults.failing_job_backoff);
  EXPECT_EQ(sample.max_waiting_submissions, defaults.max_waiting_submissions);
  EXPECT_EQ(sample.terminal_state_cache_size, defaults.terminal_state_cache_size);
}

TEST(settings, invalid_operator_elements_are_rejected_with_a_reason) {
  const auto error_for = [](const std::string& inner) {
    return operator_error("<gingerdrift>" + inner + "</gingerdrift>");
  };
  EXPECT_EQ(error_for("<fleet><idle_return_s> 30 </idle_return_s></fleet>"), "");
  EXPECT_NE(error_for("<fleet><idle_retrun_s>30</idle_retrun_s></fleet>").find("unknown element"),
            std::string::npos);
  EXPECT_NE(error_for("<flet/>").find("unknown element"), std::string::npos);
  EXPECT_NE(
      error_for("<fleet><idle_return_s>soon</idle_return_s></fleet>").find("fleet/idle_return_s"),
      std::string::npos);
  EXPECT_NE(error_for("<admission><pool_order>spot</pool_order></admission>").find("each once"),
            std::string::npos);
  EXPECT_NE(error_for("<leadership><lease_s>0</lease_s></leadership>").find("between"),
            std::string::npos);
  EXPECT_NE(operator_error("<gingerdrift>").find("XML"), std::string::npos);
}

// For every limit, the sum of all parts stays below the limit, and every part has sockets.
TEST(settings, connection_budget_stays_below_its_limit_and_leaves_no_part_empty) {
  for (const std::size_t limit : {32U, 100U, 1000U, 1500U, 2500U, 3735U, 11000U, 1000000U}) {
    const auto budget = config::connection_budget::of(limit);
    EXPECT_LT(budget.total(), limit) << limit;
    EXPECT_GE(budget.calls, 4U) << limit;
    EXPECT_GE(budget.peers, 1U) << limit;
    EXPECT_GE(budget.front, limit / 2) << limit;
    EXPECT_GE(budget.front_backlog, 1U) << limit;
  }
}

}  // namespace gingerdrift::testing
