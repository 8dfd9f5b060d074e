#include "kvstore/wire_codec.hpp"

#include <spdlog/spdlog.h>

#include <stdexcept>

namespace gingerdrift::kvstore::wire {

namespace {

namespace method {
constexpr const char* get = "GET";
constexpr const char* post = "POST";
constexpr const char* remove = "DELETE";
}  // namespace method

namespace path {
constexpr const char* store = "/store";
constexpr const char* transaction = "/multi";
constexpr const char* leases = "/leases";
constexpr const char* renew = "/touch";  // appended to the path of the lease
constexpr const char* changes = "/changes";
}  // namespace path

namespace parameter {
constexpr const char* prefix = "under=";
constexpr const char* limit = "most=";
constexpr const char* after_key = "from=";
constexpr const char* from_revision = "from=";
constexpr const char* wait_ms = "holdMs=";
}  // namespace parameter

namespace field {
constexpr const char* key = "k";
constexpr const char* value = "data";
constexpr const char* version = "stamp";
constexpr const char* revision = "epoch";
constexpr const char* lease = "hold";
constexpr const char* ttl_ms = "ttlMs";
// Fields of a page:
constexpr const char* entries = "entries";
constexpr const char* more = "truncated";
// Fields of a transaction:
constexpr const char* conditions = "if";
constexpr const char* operations = "then";
constexpr const char* put_key = "write";
constexpr const char* deleted_key = "delete";
constexpr const char* failed_keys = "failed";
// Fields of a watch's response. Its changes name keys in the same fields as a transaction:
constexpr const char* changes = "news";
}  // namespace field

std::int64_t to_milliseconds(duration value) {
  return std::chrono::duration_cast<milliseconds>(value).count();
}

std::string lease_path(std::uint64_t lease) {
  return std::string(path::leases) + "/" + std::to_string(lease);
}

json encode_operation(const operation& operation) {
  if (operation.erase) return {{field::deleted_key, operation.key}};
  json put = {{field::put_key, operation.key}, {field::value, operation.value}};
  if (operation.lease != 0) put[field::lease] = operation.lease;
  return put;
}

store_revision decode_version(const json& item) {
  return store_revision(item.at(field::version).get<std::uint64_t>());
}

entry decode_entry(const json& item) {
  return {item.at(field::key).get<std::string>(), item.at(field::value), decode_version(item)};
}

entry decode_change(const json& item) {
  entry change;
  change.version = decode_version(item);
  if (item.contains(field::put_key)) {
    change.key = item[field::put_key].get<std::string>();
    change.value = item.at(field::value);
  } else {
    change.key = item.at(field::deleted_key).get<std::string>();
    change.value = json(json::value_t::discarded);
  }
  return change;
}

/// Decodes the lease that was granted or renewed, or the one that the entry read is attached to.
void decode_lease(const json& body, result& decoded) {
  if (!body.contains(field::lease)) return;
  const json& lease = body[field::lease];
  const bool entry_without_lease = body.contains(field::key) && lease.is_null();
  if (!entry_without_lease) decoded.lease = lease.get<std::uint64_t>();
}

/// Decodes the body of a response. Throws if the body violates the protocol.
void decode_body(const std::string& text, result& decoded) {
  const json body = json::parse(text);
  if (!body.is_object()) throw std::invalid_argument("not an object");
  if (body.contains(field::revision))
    decoded.revision = store_revision(body[field::revision].get<std::uint64_t>());
  decode_lease(body, decoded);
  if (body.contains(field::key)) decoded.entries.push_back(decode_entry(body));
  if (body.contains(field::entries)) {
    for (const auto& item : body[field::entries]) decoded.entries.push_back(decode_entry(item));
  }
  if (body.contains(field::more)) decoded.more = body[field::more].get<bool>();
  if (body.contains(field::failed_keys))
    decoded.conflicting_keys = body[field::failed_keys].get<std::vector<std::string>>();
  if (body.contains(field::changes)) {
    for (const auto& item : body[field::changes]) decoded.entries.push_back(decode_change(item));
  }
}

bool has_documented_body(const net::response& response) {
  const bool documented = response.status == status_code::ok ||
                          response.status == status_code::not_found ||
                          response.status == status_code::conflict;
  return documented && !response.body.empty();
}

}  // namespace

net::request encode_get(const std::string& key) {
  return {method::get, std::string(path::store) + "/" + key, {}};
}

net::request encode_list(const std::string& prefix, const std::string& after, std::size_t limit) {
  std::string target = std::string(path::store) + "?" + parameter::prefix + prefix + "&" +
                       parameter::limit + std::to_string(limit);
  if (!after.empty()) target += std::string("&") + parameter::after_key + after;
  return {method::get, target, {}};
}

net::request encode_transaction(const std::vector<condition>& conditions,
                                const std::vector<operation>& operations) {
  json body = json::object();
  json& compares = body[field::conditions] = json::array();
  for (const auto& condition : conditions) {
    compares.push_back({{field::key, condition.key}, {field::version, condition.version.value()}});
  }
  // A transaction that only checks conditions has no field for operations.
  if (!operations.empty()) {
    json& changes = body[field::operations] = json::array();
    for (const auto& operation : operations) changes.push_back(encode_operation(operation));
  }
  return {method::post, path::transaction, body.dump()};
}

net::request encode_grant(duration ttl) {
  const json body = {{field::ttl_ms, to_milliseconds(ttl)}};
  return {method::post, path::leases, body.dump()};
}

net::request encode_renew(std::uint64_t lease) {
  return {method::post, lease_path(lease) + path::renew, "{}"};
}

net::request encode_drop(std::uint64_t lease) { return {method::remove, lease_path(lease), {}}; }

net::request encode_watch(const std::string& prefix, store_revision from, duration wait) {
  const std::string target = std::string(path::changes) + "?" + parameter::prefix + prefix + "&" +
                             parameter::from_revision + std::to_string(from.value()) + "&" +
                             parameter::wait_ms + std::to_string(to_milliseconds(wait));
  return {method::get, target, {}};
}

result decode_response(const net::response& response, time_point sent) {
  result decoded;
  decoded.status = response.status;
  decoded.sent = sent;
  if (!has_documented_body(response)) return decoded;
  try {
    decode_body(response.body, decoded);
    return decoded;
  } catch (const std::exception& error) {
    spdlog::error("store_response_malformed error=\"{}\"", error.what());
  }
  result no_answer;
  no_answer.sent = sent;
  return no_answer;
}

}  // namespace gingerdrift::kvstore::wire
