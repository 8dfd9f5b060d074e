#include "admission/quota_ledger.hpp"

namespace gingerdrift::admission {

namespace {
/// Reports whether the usage is within the given amounts; an amount of 0 means no bound.
bool within(const resources& usage, double cpus, double gpus) {
  return (cpus <= 0 || usage.cpus <= cpus + amount_tolerance) &&
         (gpus <= 0 || usage.gpus <= gpus + amount_tolerance);
}
}  // namespace

void quota_ledger::add_placed(const job_view& job, std::size_t not_stopping) {
  occupied_[job.team] += job.need.times(static_cast<double>(job.placed.size()));
  projected_[job.team] += job.need.times(static_cast<double>(not_stopping));
}

void quota_ledger::add_started_task(const job_view& job) {
  occupied_[job.team] += job.need;
  projected_[job.team] += job.need;
}

bool quota_ledger::limit_allows(const job_view& job, double tasks, resources usage) const {
  const auto& team = teams_[job.team];
  usage += job.need.times(tasks);
  return within(usage, team.cpus_max, team.gpus_max);
}

bool quota_ledger::within_guarantee(const job_view& job, double tasks) const {
  const auto& team = teams_[job.team];
  if (team.cpus <= 0 && team.gpus <= 0) return false;
  resources usage = projected_[job.team];
  usage += job.need.times(tasks);
  return within(usage, team.cpus, team.gpus);
}

bool quota_ledger::exceeds_guarantee(std::size_t team) const {
  return !within(occupied_[team], teams_[team].cpus, teams_[team].gpus);
}

bool quota_ledger::is_borrowed(std::size_t team, const resources& amount,
                               const resources& usage) const {
  const auto& quota = teams_[team];
  if (quota.cpus <= 0 && quota.gpus <= 0) return true;
  resources rest = usage;
  rest -= amount;
  return (quota.cpus > 0 && rest.cpus + amount_tolerance >= quota.cpus) ||
         (quota.gpus > 0 && rest.gpus + amount_tolerance >= quota.gpus);
}

}  // namespace gingerdrift::admission
