#include "cloud/scale_out.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::cloud {

namespace {
constexpr std::uint32_t max_machines_per_request = 50;
constexpr std::uint32_t max_attempts = 8;
}  // namespace

scale_out::scale_out(cloud_client& client, machine_table& machines, const options& options,
                     fencing_token token, std::function<void()> changed)
    : client_(client),
      machines_(machines),
      refusal_backoff_(options.refusal_backoff),
      max_machines_(options.machines_max),
      token_(token),
      changed_(std::move(changed)) {}

std::size_t scale_out::rented_and_requested_count() const {
  std::size_t total = machines_.all().size();
  for (const auto& [key, request] : requests_) total += request.count;
  return total;
}

bool scale_out::has_request_for(const admission::pool& pool) const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [&](const auto& entry) { return entry.second.pool == pool; });
}

void scale_out::request(const std::map<admission::pool, std::uint32_t>& missing) {
  std::size_t total = rented_and_requested_count();
  for (const auto& [pool, missing_count] : missing) {
    const auto remaining = max_machines_ > total ? max_machines_ - total : 0;
    const auto count = static_cast<std::uint32_t>(
        std::min<std::size_t>({missing_count, remaining, max_machines_per_request}));
    if (count == 0 || has_request_for(pool)) continue;
    add_request(pool, count);
    total += count;
  }
  send();
}

void scale_out::add_request(const admission::pool& pool, std::uint32_t count) {
  // The token is unique to the leadership term and the number to the request within the term, so
  // that no key is ever used again.
  rental_request request;
  request.idempotency_key =
      "gd-" + std::to_string(token_.value()) + "-" + std::to_string(next_request_number_++);
  request.pool = pool;
  request.count = count;
  spdlog::info("scale_out_requested request={} type={} zone={} spot={} count={}",
               request.idempotency_key, pool.type, pool.zone, pool.spot, count);
  requests_[request.idempotency_key] = request;
}

void scale_out::send() {
  const time_point now = client_.now();
  for (auto& [key, request] : requests_) {
    if (request.in_flight || now < request.next_attempt || !client_.try_acquire()) continue;
    request.in_flight = true;
    ++request.attempts;
    client_.call({"POST", "/rentals",
                  encode_rental_request(request.idempotency_key, request.pool, request.count)},
                 [this, idempotency_key = request.idempotency_key](const net::response& response) {
                   handle_response(idempotency_key, response);
                 });
  }
}

void scale_out::handle_response(const std::string& idempotency_key, const net::response& response) {
  const auto position = requests_.find(idempotency_key);
  if (position == requests_.end()) return;
  rental_request& request = position->second;
  request.in_flight = false;
  const auto names = response.status == 200 ? decode_rental_response(response.body) : std::nullopt;
  if (names) {
    add_machines(request, *names);
    if (names->size() < request.count) mark_pool_refused(request.pool);
    return finish(position);
  }
  if (response.status == 503 && is_no_capacity_error(response.body)) {
    spdlog::info("no_capacity type={} zone={} spot={}", request.pool.type, request.pool.zone,
                 request.pool.spot);
    mark_pool_refused(request.pool);
    return finish(position);
  }
  retry_or_give_up(position, response.status);
}

void scale_out::add_machines(const rental_request& request,
                             const std::vector<machine_name>& names) {
  for (const auto& name : names) {
    const auto [entry, is_new] = machines_.find_or_add(name, client_.now());
    entry.rented_in_term = true;
    if (is_new) entry.pool = request.pool;
  }
}

void scale_out::mark_pool_refused(const admission::pool& pool) {
  refused_until_[pool] = client_.now() + refusal_backoff_;
}

void scale_out::finish(request_map::iterator request) {
  requests_.erase(request);
  changed_();
}

void scale_out::retry_or_give_up(request_map::iterator request, int status) {
  if (status == 400 || request->second.attempts >= max_attempts) {
    // If the cloud has rented machines for the request nevertheless, they appear in its list and
    // are used or returned.
    requests_.erase(request);
    return;
  }
  request->second.next_attempt = client_.now() + failure_pause;
  client_.pause_after_failure();
}

std::set<admission::pool> scale_out::refused_pools() const {
  std::set<admission::pool> pools;
  for (const auto& [pool, until] : refused_until_) {
    if (client_.now() < until) pools.insert(pool);
  }
  return pools;
}

std::vector<machine> scale_out::pending_machines() const {
  std::vector<machine> pending;
  for (const auto& [key, request] : requests_) {
    for (std::uint32_t i = 0; i < request.count; ++i) {
      machine placeholder;
      placeholder.name = machine_name(request.idempotency_key + "#" + std::to_string(i));
      placeholder.pool = request.pool;
      pending.push_back(std::move(placeholder));
    }
  }
  return pending;
}

}  // namespace gingerdrift::cloud
