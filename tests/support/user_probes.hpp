#pragma once

#include <string>
#include <vector>

#include "support/sim_users.hpp"

namespace gingerdrift::testing {

/// Requests beyond what users need: the same question to all controllers at
/// critical moments, and requests that have to be refused.
class user_probes {
 public:
  user_probes(site_context& context, sim_users& users) : context_(context), users_(users) {}

  /// For that long, users query all controllers, within milliseconds and again over the next
  /// seconds, once a job was accepted or they were told its final state: they poll it, repeat its
  /// submission, and cancel what is over.
  void query_all_controllers_for(duration span) { querying_until_ = context_.net.now() + span; }
  /// To be called at such a moment.
  void query_all_controllers(const std::string& job);
  /// Once a second for that long, users repeat submissions, cancel what is
  /// over, submit what can't be accepted, and poll what nobody submitted.
  void send_unexpected_requests_for(duration span);

 private:
  void query(const std::string& job, const std::string& node);
  /// Asks a controller about an accepted job by one of the users' paths.
  void send_query(const std::string& job, const std::string& node, const std::string& method,
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
