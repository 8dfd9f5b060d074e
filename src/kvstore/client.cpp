#include "kvstore/client.hpp"

#include "kvstore/wire_codec.hpp"

namespace gingerdrift::kvstore {

namespace {
constexpr duration request_deadline = milliseconds(1500);
constexpr duration list_deadline = milliseconds(4000);
/// Time that the response to a watch may take beyond the time for which the watch waits for
/// changes.
constexpr duration watch_margin = seconds(3);
constexpr std::size_t page_size = 200;
}  // namespace

client::client(net::runtime& runtime, std::string address, const service_limits& limits,
               const std::optional<service_limits>& announced, const limit_shares& shares)
    : runtime_(runtime), address_(std::move(address)), budget_(limits, announced, shares) {}

void client::send(net::request message, const request_options& options, result_fn done) {
  const time_point now = runtime_.now();
  if (!budget_.reserve(now, options.writes, options.urgency))
    return reject_rate_limited(std::move(done));
  runtime_.call(address_, std::move(message), options.deadline,
                [this, sent = now, writes = options.writes,
                 done = std::move(done)](const net::response& response) {
                  handle_result(wire::decode_response(response, sent), writes, done);
                });
}

void client::handle_result(const result& received, double writes, const result_fn& done) {
  const time_point now = runtime_.now();
  const bool failed = received.no_answer() || received.unavailable();
  (failed ? last_unavailable_time_ : last_response_time_) = now;
  if (received.rate_limited()) budget_.handle_rate_limit_error(now, writes);
  done(received);
}

void client::reject_rate_limited(result_fn done) {
  runtime_.after(duration::zero(), [done = std::move(done), now = runtime_.now()] {
    result rejected;
    rejected.status = status_code::rate_limited;
    rejected.sent = now;
    done(rejected);
  });
}

void client::get(const std::string& key, result_fn done) {
  send(wire::encode_get(key), {.deadline = request_deadline}, std::move(done));
}

void client::get_revision(result_fn done) {
  // The service returns its revision with every list, even an empty one.
  send(wire::encode_list("gd/", "", 1), {.deadline = request_deadline}, std::move(done));
}

void client::get_for_user(const std::string& key, result_fn done) {
  if (budget_.reserve_for_user(runtime_.now())) return get(key, std::move(done));
  reject_rate_limited(std::move(done));
}

void client::get_in_background(const std::string& key, result_fn done) {
  if (has_spare_requests()) return get(key, std::move(done));
  reject_rate_limited(std::move(done));
}

void client::list(const std::string& prefix, const std::string& after, result_fn done) {
  list_page(prefix, after, page_size, std::move(done));
}

void client::list_in_background(const std::string& prefix, const std::string& after,
                                std::size_t limit, result_fn done) {
  if (has_spare_requests()) return list_page(prefix, after, limit, std::move(done));
  reject_rate_limited(std::move(done));
}

void client::list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                       result_fn done) {
  send(wire::encode_list(prefix, after, limit), {.deadline = list_deadline}, std::move(done));
}

void client::compare_for_user(const std::vector<condition>& conditions, result_fn done) {
  if (budget_.reserve_for_user(runtime_.now())) return txn(conditions, {}, std::move(done));
  reject_rate_limited(std::move(done));
}

void client::txn(const std::vector<condition>& conditions, const std::vector<operation>& operations,
                 result_fn done) {
  const auto writes = static_cast<double>(operations.size());
  send(wire::encode_transaction(conditions, operations),
       {.deadline = request_deadline, .writes = writes}, std::move(done));
}

void client::grant(duration ttl, result_fn done) {
  send(wire::encode_grant(ttl), {.deadline = request_deadline}, std::move(done));
}

void client::renew(std::uint64_t lease, duration deadline, result_fn done) {
  send(wire::encode_renew(lease), {.deadline = deadline, .urgency = request_urgency::essential},
       std::move(done));
}

void client::drop(std::uint64_t lease, result_fn done) {
  send(wire::encode_drop(lease), {.deadline = request_deadline}, std::move(done));
}

void client::watch(const std::string& prefix, store_revision from, duration wait, result_fn done) {
  send(wire::encode_watch(prefix, from, wait), {.deadline = wait + watch_margin}, std::move(done));
}

}  // namespace gingerdrift::kvstore
