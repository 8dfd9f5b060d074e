#include "api/leader_query_forwarder.hpp"

#include <algorithm>
#include <utility>

#include "api/query_batch.hpp"

namespace gingerdrift::api {

namespace {
constexpr std::size_t max_requests_in_flight = 4;
constexpr std::size_t max_batch_size = 256;
constexpr std::size_t max_waiting_queries = 2048;
/// A user waits 2 s for a response, of which the request to the leader may take more than half.
constexpr duration max_waiting_time = milliseconds(700);
/// How long a leader whose version does not support batches is asked for each job separately.
constexpr duration unsupported_retry_delay = seconds(10);
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

net::request query_for(const job_id& job) { return {"GET", "/work/" + job.str(), {}}; }
}  // namespace

leader_query_forwarder::leader_query_forwarder(net::runtime& runtime, node_services& services)
    : runtime_(runtime), services_(services) {}

void leader_query_forwarder::forward(const job_id& job, answer_fn done) {
  pending_query query{job, runtime_.now(), std::move(done)};
  if (runtime_.now() < batches_unsupported_until_) return send_single(query);
  if (waiting_.size() >= max_waiting_queries) return query.done({}, duration::zero());
  waiting_.push_back(std::move(query));
  send_waiting();
}

void leader_query_forwarder::send_waiting() {
  while (requests_in_flight_ < max_requests_in_flight) {
    query_list queries = take_waiting();
    if (queries.empty()) return;
    if (queries.size() == 1) {
      send_single(queries.front());
    } else {
      send_batch(std::move(queries));
    }
  }
}

/// Returns the queries to be sent next. Those that have waited for too long are answered with
/// status 0 instead.
leader_query_forwarder::query_list leader_query_forwarder::take_waiting() {
  query_list queries;
  while (!waiting_.empty() && queries.size() < max_batch_size) {
    pending_query query = std::move(waiting_.front());
    waiting_.pop_front();
    if (runtime_.now() - query.received > max_waiting_time) {
      query.done({}, duration::zero());
    } else {
      queries.push_back(std::move(query));
    }
  }
  return queries;
}

void leader_query_forwarder::send_single(const pending_query& query) {
  ++requests_in_flight_;
  services_.forward_to_leader(
      query_for(query.job),
      guard_.wrap([this, sent = runtime_.now(), done = query.done](const net::response& response) {
        --requests_in_flight_;
        done(response, runtime_.now() - sent);
        send_waiting();
      }));
}

void leader_query_forwarder::send_batch(query_list queries) {
  ++requests_in_flight_;
  std::vector<job_id> jobs;
  jobs.reserve(queries.size());
  for (const auto& query : queries) jobs.push_back(query.job);
  const net::request message{"POST", query_batch_target, encode_query_batch(jobs)};
  services_.forward_to_leader(
      message, guard_.wrap([this, sent = runtime_.now(),
                            queries = std::move(queries)](const net::response& response) {
        --requests_in_flight_;
        handle_batch_response(queries, response, runtime_.now() - sent);
        send_waiting();
      }));
}

void leader_query_forwarder::handle_batch_response(const query_list& queries,
                                                   const net::response& response, duration age) {
  if (response.status == status_not_found) {
    batches_unsupported_until_ = runtime_.now() + unsupported_retry_delay;
    for (const auto& query : queries) send_single(query);
    return;
  }
  if (response.status != status_ok) {
    for (const auto& query : queries) query.done(response, age);
    return;
  }
  const auto answers = decode_query_answers(response.body, queries.size());
  for (std::size_t index = 0; index < queries.size(); ++index) {
    const query_answer answer = answers ? (*answers)[index] : query_answer{status_unavailable, {}};
    queries[index].done({answer.status, answer.body, std::nullopt, false}, age);
  }
}

}  // namespace gingerdrift::api
