#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "api/node_services.hpp"
#include "base/callback_guard.hpp"
#include "base/ids.hpp"
#include "net/transport.hpp"

namespace gingerdrift::api {

/// Forwards users' queries for the states of jobs to the leader.
///
/// Only a few requests are sent at the same time. Queries that arrive meanwhile wait and are then
/// sent together in one request, so that the number of queries that the leader can answer does not
/// depend on how long each request takes. Must be used on the event loop's thread.
class leader_query_forwarder {
 public:
  /// Receives the leader's response to a query, with status 0 if there was none, and the time since
  /// the query was sent to the leader.
  using answer_fn = std::function<void(const net::response& response, duration age)>;

  /// `services` has to outlive the forwarder.
  leader_query_forwarder(net::runtime& runtime, node_services& services);

  /// Forwards a query and calls `done` once. `done` runs at once with status 0 if too many queries
  /// wait.
  void forward(const job_id& job, answer_fn done);

 private:
  struct pending_query {
    job_id job;
    time_point received;
    answer_fn done;
  };
  using query_list = std::vector<pending_query>;

  void send_waiting();
  query_list take_waiting();
  void send_single(const pending_query& query);
  void send_batch(query_list queries);
  void handle_batch_response(const query_list& queries, const net::response& response,
                             duration age);

  net::runtime& runtime_;
  node_services& services_;
  std::deque<pending_query> waiting_;
  std::size_t requests_in_flight_ = 0;
  /// Until then no batches are sent, because the leader's version did not support them.
  time_point batches_unsupported_until_{};
  callback_guard guard_;
};

}  // namespace gingerdrift::api
