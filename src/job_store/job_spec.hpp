#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/types.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

namespace gingerdrift::job_store {

/// Description of a job as its owner submitted it. Amounts are per task.
struct job_spec {
  job_id id;
  std::string lane;
  std::string team;
  bool gang = false;  // all tasks run at the same time, or none does
  admission::priority level = admission::priority::standard;
  std::uint32_t tasks = 1;
  admission::resources need;
  bool any_type = true;            // any machine type is allowed; otherwise one of `types`
  std::vector<std::string> types;  // allowed machine types
  zone_name zone;                  // empty: any zone
  bool one_zone = false;           // all tasks must run in the same zone
  bool spread = false;             // tasks must run in several zones
  bool spot = false;               // may run on spot machines, which the cloud can take away
  std::string image;
  double image_gb = 0;
  duration estimate{};    // estimated run time of a task
  duration checkpoint{};  // interval between the checkpoints that a task makes by itself
  duration save{};        // time to save a task's work when the task is stopped
  std::optional<duration> due;
};

}  // namespace gingerdrift::job_store
