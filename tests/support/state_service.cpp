#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {
void send(const net::reply_fn& reply, int status, const json& body) {
  reply({status, body.dump(), std::nullopt, false});
}
std::string parameter(const std::string& target, const std::string& name) {
  for (const char* lead : {"?", "&"}) {
    const auto at = target.find(lead + name + "=");
    if (at == std::string::npos) continue;
    const auto from = at + name.size() + 2;
    return target.substr(from, target.find('&', from) - from);
  }
  return {};
}
}  // namespace

state_service::state_service(sim_net& net, std::string address) : net_(net) {
  net_.serve("state", address, [this](const net::request& message, const net::reply_fn& reply) {
    handle(message, reply);
  });
  expire();
}

const json* state_service::peek(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second.value;
}

void state_service::outage(duration span) {
  down_until_ = net_.now() + span;
  for (auto& [id, lease] : leases_) lease.until = down_until_ + lease.ttl;
}

void state_service::expire() {
  net_.after(milliseconds(50), [this] { expire(); });
  if (down()) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (net_.now() < it->second.until) {
      ++it;
      continue;
    }
    const auto id = it->first;
    it = leases_.erase(it);
    ++revision_;
    std::vector<std::string> attached;
    for (const auto& [key, item] : entries_) {
      if (item.lease == id) attached.push_back(key);
    }
    for (const auto& key : attached) change(key, nullptr, 0);
  }
  notify();
}

void state_service::change(const std::string& key, const json* value, std::uint64_t lease) {
  if (on_change) on_change(key, value);
  if (value == nullptr) {
    if (entries_.erase(key) == 0) return;
    log_.emplace_back(revision_, key, json());
    return;
  }
  biggest_ = std::max(biggest_, value->dump().size());
  entries_[key] = {*value, revision_, lease};
  log_.emplace_back(revision_, key, *value);
}

json state_service::changes(const std::string& prefix, std::uint64_t from) const {
  json news = json::array();
  for (const auto& [revision, key, value] : log_) {
    if (revision <= from || key.rfind(prefix, 0) != 0) continue;
    if (value.is_null()) {
      news.push_back({{"delete", key}, {"stamp", revision}});
    } else {
      news.push_back({{"write", key}, {"data", value}, {"stamp", revision}});
    }
  }
  return news;
}

void state_service::notify() {
  if (down()) return;
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    json news = changes(it->prefix, it->from);
    if (news.empty()) {
      ++it;
      continue;
    }
    send(it->reply, 200, {{"epoch", revision_}, {"news", news}});
    it = watchers_.erase(it);
  }
}

bool state_service::sizes_allowed(const json& body) const {
  constexpr std::size_t conditions_per_operation = 4;
  constexpr std::size_t transaction_bytes = std::size_t{64} << 10;
  if (body.at("then").size() > txn_operations_) return false;
  if (body.at("if").size() > txn_operations_ * conditions_per_operation) return false;
  if (body.dump().size() > transaction_bytes) return false;
  for (const auto& one : body.at("then")) {
    if (one.contains("data") && one["data"].dump().size() > value_bytes_) return false;
  }
  return true;
}

void state_service::txn(const json& asked, const net::reply_fn& reply) {
  json body = asked;
  if (!body.contains("then")) body["then"] = json::array();  // it only compares
  json failed = json::array();
  for (const auto& one : body.at("if")) {
    const auto found = entries_.find(one.at("k").get<std::string>());
    const std::uint64_t version = found == entries_.end() ? 0 : found->second.version;
    if (version != one.at("stamp").get<std::uint64_t>()) failed.push_back(one.at("k"));
  }
  for (const auto& one : body.at("then")) {
    if (one.contains("hold") && leases_.count(one["hold"].get<std::uint64_t>()) == 0)
      return send(reply, 400, {{"error", "no such lease"}});
  }
  if (!sizes_allowed(body)) {
    ++refused_for_size_;
    return send(reply, 400, {{"error", "too large"}});
  }
  const auto changes = static_cast<double>(body.at("then").size());
  if (!writes_.take(net_.now(), changes)) {
    ++refused_for_rate_;
    return send(reply, 429, {{"error", "too many changes"}});
  }
  writes_taken_ += body.at("then").size();
  if (!failed.empty()) return send(reply, 409, {{"failed", failed}, {"epoch", revision_}});
  most_operations_ = std::max(most_operations_, body.at("then").size());
  ++revision_;
  for (const auto& one : body.at("then")) {
    if (one.contains("delete")) {
      change(one["delete"].get<std::string>(), nullptr, 0);
    } else {
      change(one.at("write").get<std::string>(), &one.at("data"),
             one.value("hold", std::uint64_t{0}));
    }
  }
  send(reply, 200, {{"epoch", revision_}});
  notify();
}

void state_service::handle(const net::request& message, const net::reply_fn& reply) {
  if (message.target == "/multi" && !down() && net_.now() < late_until_ &&
      net_.uniform(0, 1) < late_share_) {
    net_.after(from_seconds(net_.uniform(2, 12)), [this, message] {
      if (down()) return;
      ++late_writes_;
      txn(json::parse(message.body),
          [this](const net::response& out) { late_refused_ += out.status != 200; });
    });
    return;
  }
  const bool loses_answer = message.target == "/multi" && !down() && net_.now() < lost_until_ &&
                            net_.uniform(0, 1) < lost_share_;
  if (loses_answer) {
    carry_out(message, [this](const net::response& out) { lost_answers_ += out.status == 200; });
    return;
  }
  if (const auto held = held_.extract(message.target); !held.empty()) {
    carry_out(message, [this, span = held.mapped(), reply](const net::response& out) {
      net_.after(span, [reply, out] { reply(out); });
    });
    return;
  }
  if (net_.now() >= slow_until_) return carry_out(message, reply);
  net_.after(from_seconds(to_seconds(slower_) * net_.uniform(0.5, 1.5)),
             [this, message, reply] { carry_out(message, reply); });
}

void state_service::carry_out(const net::request& message, const net::reply_fn& reply) {
  const std::string path = message.target.substr(0, message.target.find('?'));
  if (down()) return send(reply, 503, {{"error", "trouble"}});
  ++requests_taken_;
  if (!requests_.take(net_.now())) {
    ++refused_for_rate_;
    return send(reply, 429, {{"error", "too many requests"}});
  }
  if (path.rfind("/store/", 0) == 0) {
    const auto key = path.substr(7);
    const auto found = entries_.find(key);
    if (found == entries_.end()) return send(reply, 404, {{"epoch", revision_}});
    json out = {{"k", key}, {"data", found->second.value}, {"stamp", found->second.version}};
    if (found->second.lease != 0) out["hold"] = found->second.lease;
    return send(reply, 200, out);
  }
  if (path == "/store") {
    const auto prefix = parameter(message.target, "under");
    const auto after = parameter(message.target, "from");
    json out = {{"entries", json::array()}, {"truncated", false}, {"epoch", revision_}};
    const std::size_t most = std::stoul(parameter(message.target, "most"));
    for (auto it = entries_.upper_bound(std::max(after, prefix)); it != entries_.end(); ++it) {
      if (it->first.rfind(prefix, 0) != 0) break;
      if (out["entries"].size() == most) {
        out["truncated"] = true;
        break;
      }
      out["entries"].push_back(
          {{"k", it->first}, {"data", it->second.value}, {"stamp", it->second.version}});
    }
    return send(reply, 200, out);
  }
  if (path == "/multi") return txn(json::parse(message.body), reply);
  if (path == "/leases") {
    const auto id = next_lease_++;
    const duration ttl = milliseconds(json::parse(message.body).at("ttlMs").get<int>());
    leases_[id] = {ttl, net_.now() + ttl};
    return send(reply, 200, {{"hold", id}});
  }
  if (path.rfind("/leases/", 0) == 0) {
    const std::uint64_t id = std::stoull(path.substr(8));
    const auto found = leases_.find(id);
    if (found == leases_.end()) return send(reply, 404, json::object());
    found->second.until =
        net_.now() + (message.method == "DELETE" ? duration::zero() : found->second.ttl);
    return send(reply, 200, {{"hold", id}});
  }
  if (path == "/changes") {
    const auto prefix = parameter(message.target, "under");
    const auto from = std::stoull(parameter(message.target, "from"));
    json news = changes(prefix, from);
    if (!news.empty()) return send(reply, 200, {{"epoch", revision_}, {"news", news}});
    const auto id = next_watch_++;
    watchers_.push_back({prefix, from, reply, id});
    net_.after(milliseconds(std::stoi(parameter(message.target, "holdMs"))), [this, id] {
      for (auto it = watchers_.begin(); it != watchers_.end(); ++it) {
        if (it->id != id) continue;
        send(it->reply, 200, {{"epoch", revision_}, {"news", json::array()}});
        watchers_.erase(it);
        return;
      }
    });
    return;
  }
  send(reply, 400, json::object());
}

}  // namespace gingerdrift::testing
