#include "support/job_history.hpp"

#include <algorithm>

namespace gingerdrift::testing {

bool job_history::dependencies_done(const std::string& job) const {
  const auto& dependencies = context_.jobs.at(job).dependencies;
  return std::all_of(dependencies.begin(), dependencies.end(),
                     [this](const std::string& name) { return fleet_.is_job_done(name); });
}

std::set<std::string> job_history::ancestors(const std::string& job) const {
  std::set<std::string> ancestors;
  std::vector<std::string> next = context_.jobs.at(job).dependencies;
  while (!next.empty()) {
    const std::string name = next.back();
    next.pop_back();
    if (!ancestors.insert(name).second) continue;
    const auto& dependencies = context_.jobs.at(name).dependencies;
    next.insert(next.end(), dependencies.begin(), dependencies.end());
  }
  return ancestors;
}

bool job_history::cancellation_requested(const std::string& job) const {
  if (users_.record(job).cancel_requested) return true;
  const auto job_ancestors = ancestors(job);
  return std::any_of(job_ancestors.begin(), job_ancestors.end(), [this](const std::string& name) {
    return users_.record(name).cancel_requested;
  });
}

std::optional<time_point> job_history::cancelled_with_ancestor_since(const std::string& job) const {
  const auto& accepted_at = users_.record(job).accepted_at;
  if (!accepted_at) return std::nullopt;
  std::optional<time_point> first;
  for (const auto& name : ancestors(job)) {
    const auto cancelled = confirmed_cancellations_.find(name);
    if (cancelled == confirmed_cancellations_.end()) continue;
    if (!users_.record(name).cancel_requested) continue;
    if (!first || cancelled->second < *first) first = cancelled->second;
  }
  if (!first) return std::nullopt;
  return std::max(*first, *accepted_at);
}

}  // namespace gingerdrift::testing
