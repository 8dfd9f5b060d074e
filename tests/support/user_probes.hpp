#pragma once

#include <string>
#include <vector>

#include "support/sim_users.hpp"

namespace gingerdrift::testing {

/// Sends additional user requests that test consistency: the same query to all controllers at
/// critical moments, repeated requests, and requests that must be rejected.
class user_probes {
 public:
  user_probes(site_context& context, sim_users& users) : context_(context), users_(users) {}

  /// During the given span, makes users query all controllers whenever a job is accepted or its
  /// first final state is received. The queries start at that moment and repeat over the next 2.5
  /// seconds. Each polls the job, repeats its submission, and cancels it if it is finished.
  void query_all_controllers_for(duration span) { querying_until_ = context_.net.now() + span; }
  /// Queries all controllers about a job, unless the span has ended. Must be called when the job is
  /// accepted and when its first final state is received.
  void query_all_controllers(const std::string& job);
  /// Once per second during the given span, repeats submissions, cancels a finished job, submits a
  /// job that must be rejected, and polls a job that was never submitted.
  void send_unexpected_requests_for(duration span);

 private:
  void query(const std::string& job, const std::string& address);
  /// Sends a request about an accepted job to a controller, through one of the paths of the user
  /// API.
  void send_query(const std::string& job, const std::string& address, const std::string& method,
                  const std::string& target);

  void send_unexpected_requests(std::size_t round);
  void send_unexpected(net::request message, net::reply_fn check);
  std::vector<std::string> resubmit_some();
  void cancel_done_job(const std::string& job);
  void poll_unknown_job(std::size_t round);
  void submit_impossible_job(std::size_t round);

  site_context& context_;
  sim_users& users_;
  time_point querying_until_{};
};

}  // namespace gingerdrift::testing
