#include "api/submission_writer.hpp"

#include <string>

namespace gingerdrift::api {

namespace {
/// Share of a transaction's 64 KiB that parts of a dependency list may take.
constexpr std::size_t max_part_bytes_per_txn = std::size_t{48} << 10;
const char* const dependency_part_prefix = "gd/dependencies/";

submission_writer::outcome outcome_of_head_write(const kvstore::result& head_result) {
  using outcome = submission_writer::outcome;
  if (head_result.ok()) return outcome::stored;
  if (head_result.conflict()) return outcome::already_accepted;
  if (head_result.rate_limited()) return outcome::over_budget;
  return outcome::unreachable;
}
}  // namespace

submission_writer::submission_writer(kvstore::client& store, const kvstore::service_limits& sizes,
                                     node_name node)
    : store_(store), sizes_(sizes), node_(std::move(node)) {}

void submission_writer::write(const job_store::job& job, const std::vector<job_id>& dependencies,
                              outcome_fn done) {
  auto write = std::make_shared<pending_write>(
      pending_write{.job = job, .dependency_parts = {}, .done = std::move(done)});
  if (!dependencies.empty()) choose_dependency_storage(*write, dependencies);
  write_parts(write);
}

/// Stores the dependency list in the head if it fits there, and in separate parts otherwise.
void submission_writer::choose_dependency_storage(pending_write& write,
                                                  const std::vector<job_id>& dependencies) const {
  const std::size_t value_bytes = kvstore::planned_value_bytes(sizes_);
  auto& job = write.job;
  job.wait_for(dependencies);
  if (job_store::encode_head(job).dump().size() <= value_bytes) return;
  write.dependency_parts = job_store::encode_dependency_parts(dependencies, value_bytes);
  const std::string prefix = dependency_part_prefix + job.spec().id.str() + "/" + node_.str() +
                             "-" + std::to_string(job.created_ms()) + "/";
  job.wait_for({}, {.prefix = prefix, .count = write.dependency_parts.size()});
}

/// Takes the next parts of the dependency list, as many as fit into one transaction together with
/// the head.
std::vector<kvstore::operation> submission_writer::take_next_part_operations(
    pending_write& write) const {
  const std::size_t max_operations = sizes_.txn_operations - 1;  // one is reserved for the head
  std::vector<kvstore::operation> operations;
  std::size_t bytes = 0;
  auto& parts = write.dependency_parts;
  while (write.next_part < parts.size() && operations.size() < max_operations) {
    auto& part = parts[write.next_part];
    const std::size_t part_bytes = part.dump().size();
    if (!operations.empty() && bytes + part_bytes > max_part_bytes_per_txn) break;
    bytes += part_bytes;
    const auto key = job_store::dependency_part_key(write.job.more_dependencies(), write.next_part);
    operations.push_back({key, std::move(part), 0, false});
    ++write.next_part;
  }
  return operations;
}

/// Writes the remaining parts, one transaction after another. The last parts are written in the
/// same transaction as the head.
void submission_writer::write_parts(const write_ptr& write) {
  auto operations = take_next_part_operations(*write);
  if (write->next_part == write->dependency_parts.size())
    return write_head(write, std::move(operations));
  store_.txn({}, operations, guard_.wrap([this, write](const kvstore::result& store_result) {
    if (store_result.ok()) return write_parts(write);
    write->done(outcome::unreachable);
  }));
}

void submission_writer::write_head(const write_ptr& write,
                                   std::vector<kvstore::operation> operations) {
  const auto head_key = job_store::head_key(write->job.spec().id);
  const auto final_key = job_store::final_key(write->job.spec().id);
  operations.push_back({head_key, job_store::encode_head(write->job), 0, false});
  store_.txn({{head_key, {}}, {final_key, {}}}, operations,
             guard_.wrap([write](const kvstore::result& store_result) {
               write->done(outcome_of_head_write(store_result));
             }));
}

}  // namespace gingerdrift::api
