#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "cloud/machine_table.hpp"
#include "cloud/options.hpp"

namespace gingerdrift::cloud {

/// Rents machines.
///
/// Each request has an idempotency key. A request without a response is retried with the same key,
/// so that no machine is rented twice. If the cloud lacks the capacity for a request, its pool
/// counts as refused for `options::refusal_backoff`.
class scale_out {
 public:
  /// `token` is part of the idempotency keys, so that no two leadership terms use the same key.
  /// `changed` is invoked when a response has completed a request, so that machines or refused
  /// pools may have changed.
  scale_out(cloud_client& client, machine_table& machines, const options& options,
            fencing_token token, std::function<void()> changed);

  /// Requests the missing machines of each pool, within the limit on machines. A pool that already
  /// has an unfinished request gets no second one.
  void request(const std::map<admission::pool, std::uint32_t>& missing);
  /// Sends the requests that are due, as far as the rate budget allows.
  void send();
  /// Pools for which the cloud recently had no capacity.
  std::set<admission::pool> refused_pools() const;
  /// Machines of unfinished requests, with placeholder names, since the cloud has not named them
  /// yet.
  std::vector<machine> pending_machines() const;

 private:
  struct rental_request {
    std::string idempotency_key;
    admission::pool pool;
    std::uint32_t count = 0;
    bool in_flight = false;
    std::uint32_t attempts = 0;
    time_point next_attempt{};
  };
  using request_map = std::map<std::string, rental_request>;

  bool has_request_for(const admission::pool& pool) const;
  std::size_t rented_and_requested_count() const;
  void add_request(const admission::pool& pool, std::uint32_t count);
  void handle_response(const std::string& idempotency_key, const net::response& response);
  void add_machines(const rental_request& request, const std::vector<machine_name>& names);
  void mark_pool_refused(const admission::pool& pool);
  void finish(request_map::iterator request);
  void retry_or_give_up(request_map::iterator request, int status);

  cloud_client& client_;
  machine_table& machines_;
  duration refusal_backoff_;
  std::uint32_t max_machines_;
  fencing_token token_;
  std::function<void()> changed_;
  request_map requests_;
  std::map<admission::pool, time_point> refused_until_;
  std::uint64_t next_request_number_ = 1;
};

}  // namespace gingerdrift::cloud
