// Tests that jobs that could never run with the configured teams and the offered machine types are
// rejected, and that others are not.
#include "api/job_validation.hpp"

#include <gtest/gtest.h>

namespace gingerdrift::testing {

namespace {

using api::find_rejection;
using api::rejection;

/// Returns the team `red`, whose only limit is this number of GPUs.
config::team team_with(double gpus_max) { return {.name = "red", .gpus_max = gpus_max}; }

/// Returns the spec of an array job of the team `red`. Besides GPUs, a task needs 1 CPU and 1 GB.
job_store::job_spec make_spec(std::uint32_t tasks, double gpus_per_task) {
  job_store::job_spec spec;
  spec.id = "run-1";
  spec.team = "red";
  spec.tasks = tasks;
  spec.need = {1, gpus_per_task, 1};
  return spec;
}

admission::machine_type make_type(const std::string& name, double gpus,
                                  std::vector<zone_name> zones) {
  admission::machine_type type;
  type.name = name;
  type.size = {64, gpus, 256};
  type.zones = std::move(zones);
  return type;
}

const std::vector<admission::machine_type> types = {make_type("g8", 8, {"a"}),
                                                    make_type("g1", 1, {"b"})};

}  // namespace

TEST(job_validation, applies_team_limit_to_all_tasks_of_a_gang_but_to_each_task_of_an_array) {
  job_store::job_spec spec = make_spec(3, 8);
  EXPECT_EQ(find_rejection(spec, {team_with(16)}, types), std::nullopt);
  spec.gang = true;
  EXPECT_EQ(find_rejection(spec, {team_with(16)}, types), rejection::over_team_limit);
}

TEST(job_validation, accepts_job_of_exactly_the_team_limit_despite_rounding_error) {
  job_store::job_spec spec = make_spec(3, 0.1);
  spec.gang = true;
  ASSERT_GT(3 * 0.1, 0.3);
  EXPECT_EQ(find_rejection(spec, {team_with(0.3)}, types), std::nullopt);
}

TEST(job_validation, uses_last_team_if_several_have_the_same_name) {
  const job_store::job_spec spec = make_spec(1, 4);
  EXPECT_EQ(find_rejection(spec, {team_with(1), team_with(8)}, types), std::nullopt);
  EXPECT_EQ(find_rejection(spec, {team_with(8), team_with(1)}, types), rejection::over_team_limit);
}

TEST(job_validation, rejects_job_if_no_machine_type_in_its_zone_fits) {
  job_store::job_spec spec = make_spec(1, 8);
  spec.zone = "b";
  EXPECT_EQ(find_rejection(spec, {team_with(16)}, types), rejection::no_fitting_machine_type);
}

TEST(job_validation, counts_only_zones_with_fitting_machines_when_a_gang_is_spread) {
  job_store::job_spec spec = make_spec(2, 8);
  spec.gang = true;
  spec.spread = true;
  EXPECT_EQ(find_rejection(spec, {team_with(16)}, types), rejection::too_few_zones_to_spread);
  spec.need.gpus = 1;
  EXPECT_EQ(find_rejection(spec, {team_with(16)}, types), std::nullopt);
}

}  // namespace gingerdrift::testing
