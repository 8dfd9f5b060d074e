#include "support/user_probes.hpp"

#include <array>

namespace gingerdrift::testing {

namespace {

constexpr auto request_deadline = seconds(5);

/// Returns the body of a submission that violates one of four rules in turn: the team is unknown,
/// the gang is too large for any zone (for an array, room for one task is enough), the task is too
/// large for any machine, or a required field is missing.
json impossible_submission(const std::string& id, std::size_t round) {
  static const std::array<const char*, 8> required_fields = {
      "nameId", "lane", "crew", "shape", "vcpus", "together", "bundle", "guessS"};
  sim_job job;
  job.id = id;
  job.team = round % 4 == 0 ? "nobody" : "red";
  job.gang = round % 4 == 1;
  job.tasks = job.gang ? 100000 : 1;
  job.gpus = round % 4 == 2 ? gpus_per_machine + 1 : gpus_per_machine;
  json body = json::parse(job.body());
  if (round % 4 == 3) body.erase(required_fields[round / 4 % required_fields.size()]);
  return body;
}

}  // namespace

void user_probes::query_all_controllers(const std::string& job) {
  auto& net = context_.net;
  if (net.now() >= querying_until_) return;
  ++context_.event_counts["queries_of_all_controllers"];
  for (const double delay_s : {0.0, 0.001, 0.005, 0.03, 0.2, 0.6, 1.2, 2.5}) {
    for (const auto& address : context_.controller_addresses)
      net.after(from_seconds(delay_s), [this, job, address] { query(job, address); });
  }
}

void user_probes::query(const std::string& job, const std::string& address) {
  send_query(job, address, "GET", "/work/" + job);
  if (context_.jobs.at(job).dependencies.empty() || users_.supports_dependencies(address))
    send_query(job, address, "POST", "/work");
  if (users_.record(job).first_final)
    send_query(job, address, "POST", "/work/" + job + "/withdraw");
}

void user_probes::send_query(const std::string& job, const std::string& address,
                             const std::string& method, const std::string& target) {
  const std::string body = target == "/work" ? context_.jobs.at(job).body() : std::string();
  context_.net.call(
      "users", address, {method, target, body}, request_deadline,
      [this, job, requested_at = context_.net.now()](const net::response& reply) {
        ++context_.event_counts["repeated_queries"];
        if (reply.status == 404 || reply.status == 400 || reply.status == 422)
          context_.violations.add("forgotten " + job + " " + std::to_string(reply.status));
        if (reply.status == 200 || reply.status == 201) users_.receive(job, reply, requested_at);
      });
}

void user_probes::send_unexpected_requests_for(duration span) {
  for (std::size_t round = 0; from_seconds(static_cast<double>(round)) < span; ++round) {
    context_.net.after(from_seconds(static_cast<double>(round)),
                       [this, round] { send_unexpected_requests(round); });
  }
}

void user_probes::send_unexpected(net::request message, net::reply_fn check) {
  ++context_.event_counts["unexpected_requests"];
  context_.net.call("users", users_.random_controller_address(), std::move(message),
                    request_deadline, std::move(check));
}

void user_probes::send_unexpected_requests(std::size_t round) {
  const auto done_jobs = resubmit_some();
  if (!done_jobs.empty()) cancel_done_job(done_jobs[round % done_jobs.size()]);
  poll_unknown_job(round);
  submit_impossible_job(round);
}

/// Resubmits a random tenth of the unfinished jobs. Returns the jobs that are done.
std::vector<std::string> user_probes::resubmit_some() {
  constexpr double share = 0.1;
  std::vector<std::string> done_jobs;
  for (const auto& [job, record] : users_.records()) {
    if (!record.has_state()) continue;
    if (record.state == "done") done_jobs.push_back(job);
    if (!record.is_finished() && context_.net.uniform(0, 1) < share) users_.resubmit(job);
  }
  return done_jobs;
}

void user_probes::cancel_done_job(const std::string& job) {
  send_unexpected({"POST", "/work/" + job + "/withdraw", ""},
                  [this, job, requested_at = context_.net.now()](const net::response& reply) {
                    if (reply.status == 200) users_.receive(job, reply, requested_at);
                    if (reply.status == 404) context_.violations.add("forgotten " + job);
                  });
}

void user_probes::poll_unknown_job(std::size_t round) {
  send_unexpected({"GET", "/work/run-77" + std::to_string(round), ""},
                  [this](const net::response& reply) {
                    if (reply.status == 200) context_.violations.add("invented");
                  });
}

void user_probes::submit_impossible_job(std::size_t round) {
  const std::string id = "run-88" + std::to_string(round);
  send_unexpected({"POST", "/work", impossible_submission(id, round).dump()},
                  [this, id](const net::response& reply) {
                    if (reply.status == 200 || reply.status == 201)
                      context_.violations.add("accepted what can't run " + id);
                  });
}

}  // namespace gingerdrift::testing
