#include "support/stand_ins.hpp"

#include <algorithm>

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

// --- state service

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

void state_service::txn(const json& body, const net::reply_fn& reply) {
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
  const auto changes = static_cast<double>(body.at("then").size());
  if (!writes_.take(net_.now(), changes)) return send(reply, 429, {{"error", "too many changes"}});
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
  const std::string path = message.target.substr(0, message.target.find('?'));
  if (down()) return send(reply, 503, {{"error", "trouble"}});
  if (!requests_.take(net_.now())) return send(reply, 429, {{"error", "too many requests"}});
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

// --- machines

std::string sim_job::body() const {
  return json({{"nameId", id},
               {"lane", "any"},
               {"crew", team},
               {"shape", gang ? "ensemble" : "sweep"},
               {"urgency", urgency},
               {"pieces", tasks},
               {"vcpus", cpus},
               {"accelerators", gpus},
               {"memGb", 1.0},
               {"bundle", "image"},
               {"imageGb", 1.0},
               {"flavors", nullptr},
               {"together", one_zone},
               {"scatter", spread},
               {"loaners", spot},
               {"guessS", run_s},
               {"snapshotS", checkpoint_s},
               {"stashS", save_s},
               {"dueS", nullptr}})
      .dump();
}

sim_machine::sim_machine(sim_site& site, std::string machine, std::string where, bool is_spot)
    : name(std::move(machine)), zone(std::move(where)), spot(is_spot), site_(site) {
  rented = site_.net.now();
}
sim_machine::~sim_machine() { *alive_ = false; }
time_point sim_machine::now() const { return site_.net.now(); }

void sim_machine::boot() {
  if (gone) return;
  up = true;
  lease_from_ = now();
  site_.net.serve(name, name + ":9",
                  [this](const net::request& message, const net::reply_fn& reply) {
                    if (now() < hung_until_) return;
                    if (message.target == "/show") {
                      reply({200, state().dump(), std::nullopt, false});
                      return;
                    }
                    const json body = json::parse(message.body);
                    if (body.at("baton").get<std::uint64_t>() < token_ ||
                        body.at("shift").get<std::uint64_t>() != session_) {
                      reply({409, state().dump(), std::nullopt, false});
                      return;
                    }
                    token_ = body.at("baton").get<std::uint64_t>();
                    execute(body.at("orders"));
                    reply({200, state().dump(), std::nullopt, false});
                  });
  site_.net.after(duration::zero(), [this, alive = alive_] {
    if (*alive) report();
  });
  step();
}

void sim_machine::vanish() {
  gone = true;
  up = false;
  tasks.clear();
  site_.net.stop(name);
}

json sim_machine::state() {
  json out = {{"host", name},        {"addr", name + ":9"},    {"flavor", "g8"}, {"yard", zone},
              {"loaners", spot},     {"shift", session_},      {"tick", ++seq_}, {"baton", token_},
              {"warningS", nullptr}, {"pieces", json::array()}};
  if (notice) out["warningS"] = *notice;
  for (const auto& [key, one] : tasks) {
    json item = {{"piece", key.first + "/" + std::to_string(key.second)},
                 {"try", one.number},
                 {"status", one.state}};
    if (!one.cause.empty()) item["cause"] = one.cause;
    out["pieces"].push_back(item);
  }
  return out;
}

void sim_machine::lease_over() {
  tasks.clear();
  ++session_;
  seq_ = 0;
  lease_from_ = now();
}

void sim_machine::report() {
  if (gone) return;
  const duration next = from_seconds(site_.shape.report_s * site_.net.uniform(0.75, 1.25));
  site_.net.after(next, [this, alive = alive_] {
    if (*alive) report();
  });
  if (in_flight_ || now() < hung_until_) return;
  in_flight_ = true;
  const time_point sent = now();
  const auto session = session_;
  const std::string node = site_.nodes[target_ % site_.nodes.size()];
  site_.net.call(name, node, {"POST", "/v1/report", state().dump()}, seconds(4),
                 [this, alive = alive_, sent, session](const net::response& reply) {
                   if (!*alive || gone) return;
                   in_flight_ = false;
                   if (now() < hung_until_) return;
                   if (reply.status == 421) {
                     const auto boss = json::parse(reply.body).value("boss", std::string());
                     ++target_;
                     for (std::size_t i = 0; i < site_.nodes.size(); ++i) {
                       if (site_.host_of(site_.nodes[i]) == boss) target_ = i;
                     }
                     return;
                   }
                   if (reply.status != 200) {
                     ++target_;
                     return;
                   }
                   const json body = json::parse(reply.body);
                   if (session != session_ || body.value("baton", std::uint64_t{0}) < token_)
                     return;
                   token_ = body["baton"].get<std::uint64_t>();
                   lease_from_ = sent;
                   execute(body.at("orders"));
                 });
}

void sim_machine::execute(const json& orders) {
  for (const auto& order : orders) {
    const auto piece = order.at("piece").get<std::string>();
    const auto slash = piece.rfind('/');
    const std::string job = piece.substr(0, slash);
    const auto number = static_cast<std::uint32_t>(std::stoul(piece.substr(slash + 1)));
    const auto attempt = order.at("try").get<std::uint64_t>();
    const auto verb = order.at("verb").get<std::string>();
    const auto found = tasks.find({job, number});
    if (verb == "run") {
      if (found != tasks.end()) continue;
      task fresh;
      fresh.number = attempt;
      fresh.state = "pulling";
      const double fetch = site_.jobs.at(job).fetch_s;
      fresh.ready =
          now() + from_seconds(fetch > 0 && !has_image(job) ? fetch * site_.net.uniform(0.5, 1.5)
                                                            : site_.net.uniform(0.2, 2.0));
      tasks[{job, number}] = fresh;
    } else if (found == tasks.end() || found->second.number != attempt) {
      continue;
    } else if (verb == "reap") {
      if (found->second.state == "ended") tasks.erase(found);
    } else if (verb == "stop" && found->second.state != "ended") {
      const auto& spec = site_.jobs.at(job);
      auto& one = found->second;
      if (one.state == "running" && spec.checkpoint_s > 0 &&
          order.at("mercyS").get<double>() >= spec.save_s) {
        one.state = "flushing";
        one.ready = now() + from_seconds(spec.save_s);
        site_.progress[job][number] += to_seconds(now() - one.started);
      } else if (one.state != "flushing" || order.at("mercyS").get<double>() == 0) {
        exit_task(job, number, "halted");
      }
    }
  }
}

void sim_machine::exit_task(const std::string& job, std::uint32_t number,
                            const std::string& cause) {
  auto& one = tasks.at({job, number});
  one.state = "ended";
  one.cause = cause;
  if (cause == "done") site_.done[job].insert(number);
}

void sim_machine::step() {
  site_.net.after(milliseconds(100), [this, alive = alive_] {
    if (*alive && !gone) step();
  });
  if (now() - lease_from_ > from_seconds(site_.shape.lease_s)) lease_over();
  if (now() < hung_until_) return;
  for (auto& [key, one] : tasks) {
    const auto& spec = site_.jobs.at(key.first);
    if (one.state == "pulling" && now() >= one.ready) {
      if (sick || spec.fails) {
        exit_task(key.first, key.second, "error");
        continue;
      }
      if (site_.done[key.first].count(key.second) != 0) {
        exit_task(key.first, key.second, "done");
        continue;
      }
      images_.insert(key.first);
      one.state = spec.gang ? "waiting" : "running";
      one.started = now();
      site_.started(*this, key.first, key.second);
    } else if (one.state == "waiting") {
      // The gang starts once every member of this attempt is there.
      std::size_t there = 0;
      for (const auto& [other_name, other] : site_.machines) {
        for (const auto& [other_key, mate] : other->tasks) {
          if (other_key.first == key.first && mate.number == one.number &&
              (mate.state == "waiting" || mate.state == "running"))
            ++there;
        }
      }
      if (there == spec.tasks) {
        one.state = "running";
        one.started = now();
      } else if (now() - one.started > from_seconds(site_.shape.gang_wait_s)) {
        exit_task(key.first, key.second, "alone");
      }
    } else if (one.state == "running") {
      if (spec.gang) {
        std::size_t there = 0;
        for (const auto& [other_name, other] : site_.machines) {
          for (const auto& [other_key, mate] : other->tasks) {
            if (other_key.first == key.first && mate.number == one.number &&
                (mate.state != "ended" || mate.cause == "done"))
              ++there;
          }
        }
        if (there < spec.tasks && now() - one.started > from_seconds(site_.shape.gang_peer_s)) {
          exit_task(key.first, key.second, "mates_gone");
          continue;
        }
      }
      if (to_seconds(now() - one.started) + site_.progress[key.first][key.second] >= spec.run_s)
        exit_task(key.first, key.second, "done");
    } else if (one.state == "flushing" && now() >= one.ready) {
      exit_task(key.first, key.second, "halted");
    }
  }
  site_.check_cancelled();
}

// --- the site: cloud and users

sim_site::sim_site(sim_net& network, site_shape how, std::vector<std::string> fronts)
    : net(network), shape(how), nodes(std::move(fronts)) {
  net.serve("cloud", "cloud:1", [this](const net::request& message, const net::reply_fn& reply) {
    handle_cloud(message, reply);
  });
}

std::string sim_site::host_of(const std::string& address) const {
  return address.substr(0, address.find(':'));
}

void sim_site::add_machine(const std::string& zone, bool spot) {
  std::string name = "n-" + std::to_string(100000 + next_machine_++);
  auto made = std::make_unique<sim_machine>(*this, name, zone, spot);
  made->boot();
  machines[name] = std::move(made);
}

void sim_site::take_spot(std::size_t count) {
  for (auto& [name, one] : machines) {
    if (count == 0) return;
    if (!one->spot || one->gone) continue;
    one->vanish();
    --count;
  }
}

void sim_site::handle_cloud(const net::request& message, const net::reply_fn& reply) {
  ++cloud_calls;
  if (net.now() < cloud_down_until_) return send(reply, 503, {{"error", "trouble"}});
  const std::string path = message.target.substr(0, message.target.find('?'));
  if (path == "/flavors") {
    return send(reply, 200,
                {{"flavors",
                  {{{"label", "g8"},
                    {"vcpus", 64},
                    {"accelerators", 8},
                    {"memGb", 256},
                    {"localGb", 50},
                    {"pullGbPerS", 1.0},
                    {"hourly", 12.0},
                    {"spotPrice", 4.0},
                    {"readyS", shape.boot_s},
                    {"yards", {"a", "b"}}}}}});
  }
  if (path == "/rentals/release") {
    const json body = json::parse(message.body);
    for (const auto& item : body.at("hosts")) {
      const auto found = machines.find(item.get<std::string>());
      if (found != machines.end()) found->second->vanish();
    }
    return send(reply, 200, json::object());
  }
  if (message.method == "POST") {
    const json body = json::parse(message.body);
    const auto ask = body.at("ask").get<std::string>();
    if (rentals_.count(ask) != 0) return send(reply, 200, {{"hosts", rentals_[ask]}});
    const auto zone = body.at("yard").get<std::string>();
    const bool spot = body.at("loaners").get<bool>();
    std::size_t held = 0;
    for (const auto& [name, one] : machines)
      held += !one->gone && one->zone == zone && one->spot == spot;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < body.at("howMany").get<std::size_t>() && held < capacity;
         ++i, ++held) {
      std::string name = "n-" + std::to_string(100000 + next_machine_++);
      machines[name] = std::make_unique<sim_machine>(*this, name, zone, spot);
      net.after(from_seconds(shape.boot_s * net.uniform(0.6, 1.5)),
                [this, name] { machines[name]->boot(); });
      names.push_back(name);
    }
    if (names.empty()) return send(reply, 503, {{"error", "no capacity"}});
    rentals_[ask] = names;
    return send(reply, 200, {{"hosts", names}});
  }
  // A list lags, and may be older than the one before.
  json list = json::array();
  for (const auto& [name, one] : machines) {
    if (one->gone) continue;
    list.push_back({{"nameId", name},
                    {"addr", name + ":9"},
                    {"flavor", "g8"},
                    {"yard", one->zone},
                    {"loaners", one->spot},
                    {"status", one->up ? "running" : "starting"},
                    {"ageS", to_seconds(net.now() - one->rented)}});
  }
  lists_.emplace_back(net.now(), list);
  const time_point shown = net.now() - from_seconds(shape.list_lag_s * net.uniform(0.5, 2.0));
  json out = json::array();
  for (const auto& [when, content] : lists_) {
    if (when <= shown) out = content;
  }
  send(reply, 200, {{"hosts", out}, {"truncated", false}});
}

void sim_site::started(sim_machine& on, const std::string& job, std::uint32_t task) {
  ++starts;
  began.emplace(job, net.now());
  const auto& spec = jobs.at(job);
  std::size_t in_zone = 0;
  for (const auto& [name, one] : machines) {
    for (const auto& [key, other] : one->tasks) {
      if (key.first != job || !other.on_machine()) continue;
      if (key.second == task && one.get() != &on) broken.push_back("ran_twice " + job);
      if (spec.one_zone && one->zone != on.zone) broken.push_back("wrong_place: zone " + job);
      in_zone += one->zone == on.zone;
    }
  }
  if (spec.spread && in_zone > (spec.tasks + 1) / 2) broken.push_back("wrong_place: spread " + job);
  if (on.spot && !spec.spot) broken.push_back("wrong_place: spot " + job);
  check_quota();
}

void sim_site::check_quota() {
  std::map<std::string, double> used;
  for (const auto& [name, one] : machines) {
    for (const auto& [key, other] : one->tasks) {
      if (other.on_machine()) used[jobs.at(key.first).team] += jobs.at(key.first).gpus;
    }
  }
  for (const auto& [team, amount] : used) {
    if (limits.count(team) != 0 && amount > limits[team] + 1e-9) broken.push_back("quota " + team);
  }
}

void sim_site::check_cancelled() {
  for (const auto& [id, when] : cancelled_at_) {
    if (net.now() - when <= from_seconds(shape.cancel_s)) continue;
    for (const auto& [name, one] : machines) {
      for (const auto& [key, other] : one->tasks) {
        if (key.first == id && other.on_machine()) broken.push_back("ran_cancelled " + id);
      }
    }
  }
}

std::string sim_site::any_node() {
  return nodes[std::uniform_int_distribution<std::size_t>(0, nodes.size() - 1)(net.random)];
}

void sim_site::submit(const sim_job& job) {
  jobs[job.id] = job;
  submitted.emplace(job.id, net.now());
  send_submit(job.id);
}

void sim_site::send_submit(const std::string& id) {
  net.call("users", any_node(), {"POST", "/work", jobs.at(id).body()}, seconds(5),
           [this, id](const net::response& reply) {
             if (reply.status == 201 || reply.status == 200) {
               hear(id, json::parse(reply.body).at("status").get<std::string>());
               poll(id);
               return;
             }
             if (reply.status == 400 || reply.status == 422) {
               broken.push_back("refused " + id + " " + std::to_string(reply.status));
               return;
             }
             net.after(seconds(1), [this, id] { send_submit(id); });
           });
}

void sim_site::poll(const std::string& id) {
  net.after(seconds(2), [this, id] {
    net.call("users", any_node(), {"GET", "/work/" + id, ""}, seconds(2),
             [this, id](const net::response& reply) {
               if (reply.status == 404) broken.push_back("forgotten " + id);
               if (reply.status == 200) answered[id] = net.now();
               if (reply.status == 200)
                 hear(id, json::parse(reply.body).at("status").get<std::string>());
               poll(id);
             });
  });
}

void sim_site::withdraw(const std::string& id) { send_withdraw(id); }

void sim_site::send_withdraw(const std::string& id) {
  net.call("users", any_node(), {"POST", "/work/" + id + "/withdraw", ""}, seconds(5),
           [this, id](const net::response& reply) {
             if (reply.status == 200) {
               const auto state = json::parse(reply.body).at("status").get<std::string>();
               if (state == "cancelled") cancelled_at_.emplace(id, net.now());
               hear(id, state);
               return;
             }
             net.after(seconds(1), [this, id] { send_withdraw(id); });
           });
}

void sim_site::hear(const std::string& id, const std::string& state) {
  auto& last = told[id];
  if ((last == "done" || last == "cancelled") && state != last)
    broken.push_back("went_back " + id + " " + last + " -> " + state);
  if (state == "done" && done[id].size() != jobs.at(id).tasks && !jobs.at(id).gang)
    broken.push_back("not_done " + id);
  last = state;
}

bool sim_site::all_over() const {
  for (const auto& [id, job] : jobs) {
    const auto found = told.find(id);
    if (found == told.end() || (found->second != "done" && found->second != "cancelled"))
      return false;
  }
  return true;
}

std::size_t sim_site::count(const std::string& state) const {
  std::size_t sum = 0;
  for (const auto& [id, last] : told) sum += last == state;
  return sum;
}

}  // namespace gingerdrift::testing
