#include "state_service.hpp"

#include <algorithm>

namespace review {

namespace net = gingerdrift::net;

namespace {
constexpr duration lease_check_interval = std::chrono::milliseconds(20);
constexpr std::size_t max_list_entries = 1000;
constexpr std::size_t max_transaction_bytes = std::size_t{64} << 10;
constexpr std::size_t conditions_per_operation = 4;
constexpr std::size_t kept_changes = 10000;

bool has_prefix(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}
}  // namespace

state_service::state_service(net::uv_runtime& runtime, std::string address, const limits& limits)
    : runtime_(runtime),
      address_(std::move(address)),
      limits_(limits),
      requests_(limits.requests_per_s),
      writes_(limits.writes_per_s),
      server_(serve(runtime, address_, [this](const net::request& message,
                                              const net::reply_fn& reply) {
        handle(message, reply);
      })) {
  end_expired_leases();
}

json state_service::peek(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? json() : found->second.value;
}

void state_service::handle(const net::request& message, const net::reply_fn& reply) {
  if (!requests_.try_take(runtime_.now()))
    return reply(json_response(429, {{"error", "too many requests"}}));
  const duration delay = extra_delay ? extra_delay(message) : duration::zero();
  if (delay == duration::zero()) return execute(message, reply);
  runtime_.after(delay, [this, message, reply] { execute(message, reply); });
}

void state_service::execute(const net::request& message, const net::reply_fn& reply) {
  const std::string path = path_of(message.target);
  if (message.method == "GET" && path == "/store") return list(message.target, reply);
  if (message.method == "GET" && has_prefix(path, "/store/")) return read_key(path.substr(7), reply);
  if (message.method == "GET" && path == "/changes") return watch(message.target, reply);
  if (has_prefix(path, "/leases")) return change_lease(message, reply);
  if (message.method == "POST" && path == "/multi") {
    const json body = json::parse(message.body, nullptr, false);
    if (body.is_object()) return transact(body, reply);
  }
  reply(json_response(400, {{"error", "malformed"}}));
}

void state_service::read_key(const std::string& key, const net::reply_fn& reply) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return reply(json_response(404, {{"epoch", revision_}}));
  json body = {{"k", key}, {"data", found->second.value}, {"stamp", found->second.version}};
  if (found->second.lease != 0) body["hold"] = found->second.lease;
  reply(json_response(200, body));
}

void state_service::list(const std::string& target, const net::reply_fn& reply) const {
  const std::string prefix = query_parameter(target, "under");
  const std::string after = query_parameter(target, "from");
  const std::size_t most =
      std::min<std::size_t>(max_list_entries, std::stoul(query_parameter(target, "most", "1000")));
  json items = json::array();
  bool truncated = false;
  for (const auto& [key, stored] : entries_) {
    if (!has_prefix(key, prefix) || key <= after) continue;
    if (items.size() == most) {
      truncated = true;
      break;
    }
    items.push_back({{"k", key}, {"data", stored.value}, {"stamp", stored.version}});
  }
  reply(json_response(200,
                      {{"entries", items}, {"truncated", truncated}, {"epoch", revision_}}));
}

void state_service::watch(const std::string& target, const net::reply_fn& reply) {
  const std::string prefix = query_parameter(target, "under");
  const std::uint64_t from = std::stoull(query_parameter(target, "from", "0"));
  if (changes_.size() == kept_changes && from + 1 < changes_.front().revision)
    return reply(json_response(410, {{"epoch", revision_}}));
  const json found = changes_since(prefix, from);
  if (!found.empty()) return reply(json_response(200, {{"epoch", revision_}, {"news", found}}));
  const std::uint64_t id = next_id_++;
  watchers_.push_back({prefix, from, reply, id});
  const auto wait = std::chrono::milliseconds(std::stol(query_parameter(target, "holdMs", "0")));
  runtime_.after(wait, [this, id] {
    const auto waiting = std::find_if(watchers_.begin(), watchers_.end(),
                                      [id](const watcher& w) { return w.id == id; });
    if (waiting == watchers_.end()) return;
    const auto answer = waiting->reply;
    watchers_.erase(waiting);
    answer(json_response(200, {{"epoch", revision_}, {"news", json::array()}}));
  });
}

json state_service::changes_since(const std::string& prefix, std::uint64_t from) const {
  json found = json::array();
  for (const auto& item : changes_) {
    if (item.revision <= from || !has_prefix(item.key, prefix)) continue;
    if (item.deleted) {
      found.push_back({{"delete", item.key}, {"stamp", item.revision}});
    } else {
      found.push_back({{"write", item.key}, {"data", item.value}, {"stamp", item.revision}});
    }
  }
  return found;
}

void state_service::notify_watchers() {
  std::list<watcher> ready;
  for (auto item = watchers_.begin(); item != watchers_.end();) {
    const auto next = std::next(item);
    if (!changes_since(item->prefix, item->from).empty())
      ready.splice(ready.end(), watchers_, item);
    item = next;
  }
  for (const auto& item : ready)
    item.reply(json_response(
        200, {{"epoch", revision_}, {"news", changes_since(item.prefix, item.from)}}));
}

bool state_service::within_sizes(const json& body, std::size_t bytes) const {
  const json operations = body.value("then", json::array());
  const json conditions = body.value("if", json::array());
  if (bytes > max_transaction_bytes || operations.size() > limits_.operations ||
      conditions.size() > limits_.operations * conditions_per_operation)
    return false;
  return std::all_of(operations.begin(), operations.end(), [this](const json& operation) {
    return !operation.contains("data") || operation["data"].dump().size() <= limits_.value_bytes;
  });
}

json state_service::unmet_conditions(const json& body) const {
  json failed = json::array();
  for (const auto& condition : body.value("if", json::array())) {
    const auto found = entries_.find(condition.at("k").get<std::string>());
    const std::uint64_t version = found == entries_.end() ? 0 : found->second.version;
    if (version != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition.at("k"));
  }
  return failed;
}

void state_service::transact(const json& body, const net::reply_fn& reply) {
  const json operations = body.value("then", json::array());
  for (const auto& operation : operations) {
    if (operation.contains("hold") && leases_.count(operation["hold"].get<std::uint64_t>()) == 0)
      return reply(json_response(400, {{"error", "no such lease"}}));
  }
  if (!within_sizes(body, body.dump().size()))
    return reply(json_response(400, {{"error", "too large"}}));
  if (!writes_.try_take(runtime_.now(), static_cast<double>(operations.size())))
    return reply(json_response(429, {{"error", "too many changes"}}));
  const json failed = unmet_conditions(body);
  if (!failed.empty())
    return reply(json_response(409, {{"failed", failed}, {"epoch", revision_}}));
  if (!operations.empty()) apply(operations);
  reply(json_response(200, {{"epoch", revision_}}));
  if (!operations.empty()) notify_watchers();
}

void state_service::apply(const json& operations) {
  ++revision_;
  for (const auto& operation : operations) {
    if (operation.contains("delete")) {
      const auto key = operation["delete"].get<std::string>();
      entries_.erase(key);
      changes_.push_back({revision_, key, true, {}});
    } else {
      const auto key = operation.at("write").get<std::string>();
      entries_[key] = {operation.at("data"), revision_, operation.value("hold", std::uint64_t{0})};
      changes_.push_back({revision_, key, false, operation.at("data")});
    }
  }
  while (changes_.size() > kept_changes) changes_.pop_front();
}

void state_service::change_lease(const net::request& message, const net::reply_fn& reply) {
  if (message.target == "/leases") {
    const json body = json::parse(message.body, nullptr, false);
    const duration ttl = std::chrono::milliseconds(body.value("ttlMs", 5000));
    const std::uint64_t id = next_id_++;
    leases_[id] = {ttl, runtime_.now() + ttl};
    return reply(json_response(200, {{"hold", id}}));
  }
  const std::uint64_t id = std::stoull(message.target.substr(std::string("/leases/").size()));
  const auto found = leases_.find(id);
  if (found == leases_.end()) return reply(json_response(404, json::object()));
  if (message.method == "DELETE") {
    end_lease(id);
  } else {
    found->second.until = runtime_.now() + found->second.ttl;
  }
  reply(json_response(200, {{"hold", id}}));
}

void state_service::end_expired_leases() {
  runtime_.after(lease_check_interval, [this] { end_expired_leases(); });
  std::vector<std::uint64_t> expired;
  for (const auto& [id, held] : leases_) {
    if (runtime_.now() > held.until) expired.push_back(id);
  }
  for (const auto id : expired) end_lease(id);
}

void state_service::end_lease(std::uint64_t id) {
  leases_.erase(id);
  json removals = json::array();
  for (const auto& [key, stored] : entries_) {
    if (stored.lease == id) removals.push_back({{"delete", key}});
  }
  if (removals.empty()) return;
  apply(removals);
  notify_watchers();
}

}  // namespace review
