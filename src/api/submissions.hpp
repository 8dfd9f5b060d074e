#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "api/acceptance_check.hpp"
#include "api/codec.hpp"
#include "api/job_state_reader.hpp"
#include "api/node_services.hpp"
#include "api/responses.hpp"
#include "api/submission_writer.hpp"
#include "api/terminal_state_cache.hpp"
#include "base/callback_guard.hpp"
#include "config/settings.hpp"

namespace gingerdrift::api {

/// Limits of submissions.
struct submission_options {
  std::uint32_t max_waiting_for_store = 64;  // submissions that wait for the store; more get 503
  /// Size limits of values and transactions.
  kvstore::service_limits sizes;
};

/// Handles submissions: validates each job, stores it, and acknowledges it only once it is stored.
/// A repeated submission is answered with the state of the stored job.
class submissions {
 public:
  /// Objects that this class uses. All of them have to outlive it.
  struct collaborators {
    net::runtime& runtime;
    kvstore::client& store;
    node_services& services;
    terminal_state_cache& terminal_states;
    answer_statistics& statistics;
    job_state_reader& state_reader;
  };

  /// `teams`: the teams that may submit jobs, with their limits. `node`: name of this controller.
  submissions(const collaborators& shared, const submission_options& options,
              std::vector<config::team> teams, node_name node);
  ~submissions() = default;
  submissions(const submissions&) = delete;
  submissions& operator=(const submissions&) = delete;

  /// Handles a submission and replies. `forwarded`: the request comes from a peer and must not be
  /// forwarded again.
  void handle(const net::request& message, bool forwarded, const net::reply_fn& reply);

 private:
  /// A well-formed submission that has not been answered yet.
  struct pending_submission {
    net::request message;
    bool forwarded = false;
    net::reply_fn reply;
    job_store::job job;
    std::vector<job_id> dependencies;
  };
  using submission_ptr = std::shared_ptr<pending_submission>;

  job_store::job create_job(job_store::job_spec spec);
  void check_dependencies(const submission_ptr& submission);
  void handle_dependency_verdict(const submission_ptr& submission,
                                 acceptance_check::verdict verdict);
  void store(const submission_ptr& submission);
  void handle_write_outcome(const submission_ptr& submission, submission_writer::outcome outcome);
  void acknowledge(const submission_ptr& submission);
  void retry_on_peer_with_store(const submission_ptr& submission);
  void reply_from_final(const job_id& id, rejection reason, const kvstore::result& final_record,
                        const net::reply_fn& reply);
  void reject_unless_accepted(const submission_ptr& submission, rejection reason);
  void reply_with_current_state(const submission_ptr& submission);
  void reply_with_stored_state(const submission_ptr& submission);

  net::runtime& runtime_;
  kvstore::client& store_;
  submission_options options_;
  std::vector<config::team> teams_;
  node_services& services_;
  terminal_state_cache& terminal_states_;
  answer_statistics& statistics_;
  job_state_reader& state_reader_;
  acceptance_check acceptance_;
  submission_writer writer_;
  std::uint32_t waiting_for_store_ = 0;
  callback_guard guard_;
};

}  // namespace gingerdrift::api
