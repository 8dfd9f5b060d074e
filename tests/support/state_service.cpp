#include "support/state_service.hpp"

#include <algorithm>
#include <array>

namespace gingerdrift::testing {

namespace {

constexpr std::string_view key_path = "/store/";
constexpr std::string_view lease_path = "/leases/";
constexpr std::string_view transaction_path = "/multi";

/// The interval at which leases are checked for expiry.
constexpr auto lease_check_interval = milliseconds(50);

std::string path_of(const net::request& message) {
  return message.target.substr(0, message.target.find('?'));
}

std::string query_parameter(const std::string& target, const std::string& name) {
  for (const char* separator : {"?", "&"}) {
    const auto position = target.find(separator + name + "=");
    if (position == std::string::npos) continue;
    const auto from = position + name.size() + 2;
    return target.substr(from, target.find('&', from) - from);
  }
  return {};
}

}  // namespace

state_service::state_service(sim_net& net, const std::string& address) : net_(net) {
  net_.serve("state", address, [this](const net::request& message, const net::reply_fn& reply) {
    handle(message, reply);
  });
  expire_leases();
}

const json* state_service::peek(const std::string& key) const {
  const auto stored = entries_.find(key);
  return stored == entries_.end() ? nullptr : &stored->second.value;
}

void state_service::set_limits(const kvstore::service_limits& limits) {
  request_budget_ = token_bucket(limits.requests_per_s);
  write_budget_ = token_bucket(limits.writes_per_s);
  value_bytes_ = static_cast<std::size_t>(limits.value_kb * 1024);
  transaction_operations_ = limits.txn_operations;
}

void state_service::start_outage(duration span) {
  down_until_ = net_.now() + span;
  for (auto& [id, lease] : leases_) lease.until = down_until_ + lease.ttl;
}

void state_service::expire_leases() {
  net_.after(lease_check_interval, [this] { expire_leases(); });
  if (is_down()) return;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (net_.now() < lease->second.until) {
      ++lease;
      continue;
    }
    const auto id = lease->first;
    lease = leases_.erase(lease);
    ++revision_;
    std::vector<std::string> attached;
    for (const auto& [key, stored] : entries_) {
      if (stored.lease == id) attached.push_back(key);
    }
    for (const auto& key : attached) change(key, nullptr, 0);
  }
  notify_watchers();
}

void state_service::change(const std::string& key, const json* value, std::uint64_t lease) {
  if (on_change) on_change(key, value);
  if (value == nullptr) {
    if (entries_.erase(key) == 0) return;
    add_to_history({.revision = revision_, .key = key, .value = json()});
    return;
  }
  largest_stored_value_bytes_ = std::max(largest_stored_value_bytes_, value->dump().size());
  entries_[key] = {.value = *value, .version = revision_, .lease = lease};
  add_to_history({.revision = revision_, .key = key, .value = *value});
}

void state_service::add_to_history(change_record record) {
  history_.push_back(std::move(record));
  while (history_.size() > history_length_) {
    compacted_revision_ = history_.front().revision;
    history_.pop_front();
  }
}

json state_service::changes(const std::string& prefix, std::uint64_t from) const {
  json found = json::array();
  for (const auto& [revision, key, value] : history_) {
    if (revision <= from || key.rfind(prefix, 0) != 0) continue;
    if (value.is_null()) {
      found.push_back({{"delete", key}, {"stamp", revision}});
    } else {
      found.push_back({{"write", key}, {"data", value}, {"stamp", revision}});
    }
  }
  return found;
}

void state_service::notify_watchers() {
  if (is_down()) return;
  for (auto watch = watchers_.begin(); watch != watchers_.end();) {
    const json found = changes(watch->prefix, watch->from);
    if (found.empty()) {
      ++watch;
      continue;
    }
    watch->reply(json_response(200, {{"epoch", revision_}, {"news", found}}));
    watch = watchers_.erase(watch);
  }
}

bool state_service::affects(const transaction_fault& fault, const net::request& message) {
  return message.target == transaction_path && !is_down() && net_.now() < fault.until &&
         net_.uniform(0, 1) < fault.share;
}

void state_service::apply_late(const net::request& message) {
  net_.after(from_seconds(net_.uniform(2, 12)), [this, message] {
    if (is_down()) return;
    ++late_writes_;
    transaction(message, [this](const net::response& result) {
      late_writes_refused_ += result.status != 200;
    });
  });
}

void state_service::answer_late(const net::request& message, duration delay,
                                const net::reply_fn& reply) {
  dispatch(message, [this, delay, reply](const net::response& result) {
    net_.after(delay, [reply, result] { reply(result); });
  });
}

void state_service::handle(const net::request& message, const net::reply_fn& reply) {
  if (affects(late_writes_fault_, message)) return apply_late(message);
  if (affects(lost_answers_fault_, message)) {
    return dispatch(message,
                    [this](const net::response& result) { lost_answers_ += result.status == 200; });
  }
  if (const auto held = held_answers_.extract(message.target); !held.empty())
    return answer_late(message, held.mapped(), reply);
  if (net_.now() >= slow_until_) return dispatch(message, reply);
  net_.after(from_seconds(to_seconds(extra_delay_) * net_.uniform(0.5, 1.5)),
             [this, message, reply] { dispatch(message, reply); });
}

void state_service::dispatch(const net::request& message, const net::reply_fn& reply) {
  static const std::array routes = {
      route{.path = key_path, .is_prefix = true, .handle = &state_service::read_key},
      route{.path = "/store", .is_prefix = false, .handle = &state_service::list_keys},
      route{.path = transaction_path, .is_prefix = false, .handle = &state_service::transaction},
      route{.path = "/leases", .is_prefix = false, .handle = &state_service::grant_lease},
      route{.path = lease_path, .is_prefix = true, .handle = &state_service::renew_or_drop_lease},
      route{.path = "/changes", .is_prefix = false, .handle = &state_service::watch},
  };
  if (is_down()) return reply(json_response(503, {{"error", "trouble"}}));
  ++requests_received_;
  if (!request_budget_.try_take(net_.now())) {
    ++refused_for_rate_;
    return reply(json_response(429, {{"error", "too many requests"}}));
  }
  const std::string path = path_of(message);
  for (const auto& candidate : routes) {
    const bool matches =
        candidate.is_prefix ? path.rfind(candidate.path, 0) == 0 : path == candidate.path;
    if (matches) return (this->*candidate.handle)(message, reply);
  }
  reply(json_response(400, json::object()));
}

void state_service::read_key(const net::request& message, const net::reply_fn& reply) {
  const auto key = path_of(message).substr(key_path.size());
  const auto stored = entries_.find(key);
  if (stored == entries_.end()) return reply(json_response(404, {{"epoch", revision_}}));
  const auto& [value, version, lease] = stored->second;
  json body = {{"k", key}, {"data", value}, {"stamp", version}};
  if (lease != 0) body["hold"] = lease;
  reply(json_response(200, body));
}

void state_service::list_keys(const net::request& message, const net::reply_fn& reply) {
  const auto prefix = query_parameter(message.target, "under");
  const auto after = query_parameter(message.target, "from");
  const std::size_t page_size = std::stoul(query_parameter(message.target, "most"));
  json body = {{"entries", json::array()}, {"truncated", false}, {"epoch", revision_}};
  auto stored = entries_.upper_bound(std::max(after, prefix));
  for (; stored != entries_.end(); ++stored) {
    if (stored->first.rfind(prefix, 0) != 0) break;
    if (body["entries"].size() == page_size) {
      body["truncated"] = true;
      break;
    }
    body["entries"].push_back(
        {{"k", stored->first}, {"data", stored->second.value}, {"stamp", stored->second.version}});
  }
  reply(json_response(200, body));
}

json state_service::unmet_conditions(const json& body) const {
  json failed = json::array();
  for (const auto& condition : body.at("if")) {
    const auto stored = entries_.find(condition.at("k").get<std::string>());
    const std::uint64_t version = stored == entries_.end() ? 0 : stored->second.version;
    if (version != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition.at("k"));
  }
  return failed;
}

bool state_service::leases_exist(const json& body) const {
  const auto& operations = body.at("then");
  return std::all_of(operations.begin(), operations.end(), [this](const json& operation) {
    return !operation.contains("hold") ||
           leases_.count(operation["hold"].get<std::uint64_t>()) != 0;
  });
}

bool state_service::sizes_allowed(const json& body) const {
  constexpr std::size_t conditions_per_operation = 4;
  constexpr std::size_t transaction_bytes = std::size_t{64} << 10;
  if (body.at("then").size() > transaction_operations_) return false;
  if (body.at("if").size() > transaction_operations_ * conditions_per_operation) return false;
  if (body.dump().size() > transaction_bytes) return false;
  for (const auto& operation : body.at("then")) {
    if (operation.contains("data") && operation["data"].dump().size() > value_bytes_) return false;
  }
  return true;
}

void state_service::transaction(const net::request& message, const net::reply_fn& reply) {
  json body = json::parse(message.body);
  // A transaction without operations only checks its conditions.
  if (!body.contains("then")) body["then"] = json::array();
  const json failed = unmet_conditions(body);
  if (!leases_exist(body)) return reply(json_response(400, {{"error", "no such lease"}}));
  if (!sizes_allowed(body)) {
    ++refused_for_size_;
    return reply(json_response(400, {{"error", "too large"}}));
  }
  const std::size_t operations = body.at("then").size();
  if (!write_budget_.try_take(net_.now(), static_cast<double>(operations))) {
    ++refused_for_rate_;
    return reply(json_response(429, {{"error", "too many changes"}}));
  }
  writes_admitted_ += operations;
  if (!failed.empty()) return reply(json_response(409, {{"failed", failed}, {"epoch", revision_}}));
  largest_transaction_operations_ = std::max(largest_transaction_operations_, operations);
  apply(body.at("then"));
  reply(json_response(200, {{"epoch", revision_}}));
  notify_watchers();
}

void state_service::apply(const json& operations) {
  ++revision_;
  for (const auto& operation : operations) {
    if (operation.contains("delete")) {
      change(operation["delete"].get<std::string>(), nullptr, 0);
    } else {
      change(operation.at("write").get<std::string>(), &operation.at("data"),
             operation.value("hold", std::uint64_t{0}));
    }
  }
}

void state_service::grant_lease(const net::request& message, const net::reply_fn& reply) {
  const auto id = next_lease_++;
  const duration ttl = milliseconds(json::parse(message.body).at("ttlMs").get<int>());
  leases_[id] = {ttl, net_.now() + ttl};
  reply(json_response(200, {{"hold", id}}));
}

void state_service::renew_or_drop_lease(const net::request& message, const net::reply_fn& reply) {
  const std::uint64_t id = std::stoull(path_of(message).substr(lease_path.size()));
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) return reply(json_response(404, json::object()));
  const bool revokes = message.method == "DELETE";
  lease->second.until = net_.now() + (revokes ? duration::zero() : lease->second.ttl);
  reply(json_response(200, {{"hold", id}}));
}

void state_service::watch(const net::request& message, const net::reply_fn& reply) {
  const auto prefix = query_parameter(message.target, "under");
  const auto from = std::stoull(query_parameter(message.target, "from"));
  if (from < compacted_revision_) return reply(json_response(410, {{"epoch", revision_}}));
  const json found = changes(prefix, from);
  if (!found.empty()) return reply(json_response(200, {{"epoch", revision_}, {"news", found}}));
  const auto id = next_watch_++;
  watchers_.push_back({.prefix = prefix, .from = from, .reply = reply, .id = id});
  const auto longest = milliseconds(std::stoi(query_parameter(message.target, "holdMs")));
  net_.after(longest, [this, id] {
    const auto watch = std::find_if(watchers_.begin(), watchers_.end(),
                                    [id](const watcher& waiting) { return waiting.id == id; });
    if (watch == watchers_.end()) return;
    watch->reply(json_response(200, {{"epoch", revision_}, {"news", json::array()}}));
    watchers_.erase(watch);
  });
}

}  // namespace gingerdrift::testing
