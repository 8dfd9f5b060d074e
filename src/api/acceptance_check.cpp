#include "api/acceptance_check.hpp"

#include <algorithm>
#include <set>

#include "job_store/job.hpp"

namespace gingerdrift::api {

namespace {
/// Users wait 5 s for a response. A list that takes longer than this limit to check is answered
/// with a request to retry, and the retry continues the check.
constexpr duration max_check_time = seconds(2);
constexpr std::size_t max_remembered = 16384;
/// The state service accepts this many conditions per operation that a transaction may have.
constexpr std::uint32_t conditions_per_operation = 4;
/// The check of a job needs a condition on its head record and another on its final record.
constexpr std::uint32_t conditions_per_job = 2;
}  // namespace

acceptance_check::acceptance_check(net::runtime& runtime, kvstore::client& store,
                                   std::uint32_t txn_operations)
    : runtime_(runtime),
      store_(store),
      max_batch_size_(std::size_t{txn_operations} * conditions_per_operation / conditions_per_job) {
}

void acceptance_check::remember(const job_id& job) {
  if (!accepted_.insert(job).second) return;
  accepted_order_.push_back(job);
  if (accepted_order_.size() <= max_remembered) return;
  accepted_.erase(accepted_order_.front());
  accepted_order_.pop_front();
}

void acceptance_check::check(std::vector<job_id> jobs, verdict_fn done) {
  auto new_check = std::make_shared<pending_check>();
  new_check->unchecked = std::move(jobs);
  new_check->deadline = runtime_.now() + max_check_time;
  new_check->done = std::move(done);
  check_next_batch(new_check);
}

void acceptance_check::check_next_batch(const std::shared_ptr<pending_check>& check) {
  auto& unchecked = check->unchecked;
  std::erase_if(unchecked, [this](const job_id& job) { return accepted_.count(job) != 0; });
  if (unchecked.empty()) return check->done(verdict::all_accepted);
  if (runtime_.now() >= check->deadline) return check->done(verdict::undecided);
  const std::size_t batch_size = std::min(max_batch_size_, unchecked.size());
  std::vector<kvstore::condition> absence_conditions;
  for (std::size_t i = 0; i < batch_size; ++i) {
    absence_conditions.push_back({job_store::head_key(unchecked[i]), {}});
    absence_conditions.push_back({job_store::final_key(unchecked[i]), {}});
  }
  store_.compare_for_user(
      absence_conditions,
      guard_.wrap([this, check, batch_size](const kvstore::result& store_result) {
        handle_batch_result(check, batch_size, store_result);
      }));
}

void acceptance_check::handle_batch_result(const std::shared_ptr<pending_check>& check,
                                           std::size_t batch_size,
                                           const kvstore::result& store_result) {
  if (store_result.rate_limited()) return check->done(verdict::undecided);
  if (!store_result.ok() && !store_result.conflict()) return check->done(verdict::unreachable);
  const std::set<std::string> present_keys(store_result.conflicting_keys.begin(),
                                           store_result.conflicting_keys.end());
  for (std::size_t i = 0; i < batch_size; ++i) {
    const job_id& job = check->unchecked[i];
    const bool was_accepted = present_keys.count(job_store::head_key(job)) != 0 ||
                              present_keys.count(job_store::final_key(job)) != 0;
    if (!was_accepted) return check->done(verdict::not_accepted);
    remember(job);
  }
  check_next_batch(check);
}

}  // namespace gingerdrift::api
