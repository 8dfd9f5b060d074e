#pragma once

#include "base/metrics.hpp"
#include "cloud/machine_inventory.hpp"
#include "config/settings.hpp"
#include "dependencies/tracker.hpp"
#include "job_store/job_table.hpp"
#include "leader/scheduling_executor.hpp"
#include "workers/reconciler.hpp"

namespace gingerdrift::leader {

/// The services and settings that the controller provides to a term of leadership. All of them
/// outlive the term.
struct term_environment {
  net::runtime& runtime;
  kvstore::client& store;
  scheduling_executor& executor;
  const config::platform_settings& platform;
  const config::operator_settings& operator_settings;
  metrics& controller_metrics;
};

/// The state, settings and services that the components of a term share. All of them outlive the
/// components.
struct term_context {
  net::runtime& runtime;
  const config::platform_settings& platform;
  const config::operator_settings& operator_settings;
  metrics& controller_metrics;
  fencing_token token;
  job_store::job_table& jobs;
  dependencies::tracker& dependencies;
  workers::reconciler& workers;
  cloud::machine_inventory& machines;
};

}  // namespace gingerdrift::leader
