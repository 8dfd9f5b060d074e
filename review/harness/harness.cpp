#include "harness.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr double users_patience_s = 5;
constexpr double poll_patience_s = 2;
constexpr double report_patience_s = 4;
constexpr double step_s = 0.02;
constexpr std::size_t kept_changes = 10000;
constexpr std::size_t page_bytes = std::size_t{512} << 10;
constexpr std::size_t transaction_bytes = std::size_t{64} << 10;
constexpr std::size_t max_request_bytes = std::size_t{64} << 10;

std::string path_of(const std::string& target) { return target.substr(0, target.find('?')); }

std::string parameter(const std::string& target, const std::string& name) {
  for (const char* separator : {"?", "&"}) {
    const auto at = target.find(separator + name + "=");
    if (at == std::string::npos) continue;
    const auto from = at + name.size() + 2;
    return target.substr(from, target.find('&', from) - from);
  }
  return {};
}

bool starts_with(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

net::client_limits client_limits() {
  net::client_limits limits;
  limits.connections_total = 4000;
  limits.connections_per_address = 400;
  limits.queued_calls_per_address = 1000;
  return limits;
}

/// Returns the value of a text field of the deploy file.
std::string deploy_field(const std::string& name) {
  std::ifstream file("deploy/service.toml");
  for (std::string line; std::getline(file, line);) {
    if (!starts_with(line, name + " = \"")) continue;
    const auto from = line.find('"') + 1;
    return line.substr(from, line.rfind('"') - from);
  }
  throw std::runtime_error("deploy/service.toml has no field " + name);
}

}  // namespace

bool trouble() {
  const char* setting = std::getenv("TROUBLE");
  return setting == nullptr || std::string(setting) != "0";
}

net::response json_response(int status, const json& body) {
  net::response result;
  result.status = status;
  result.body = body.dump();
  return result;
}

std::string format(const char* text, ...) {
  char buffer[2000];
  va_list values;
  va_start(values, text);
  std::vsnprintf(buffer, sizeof buffer, text, values);
  va_end(values);
  return buffer;
}

bool rate_limit::take(double now_s, double amount) {
  level_ = std::min(rate_, level_ + (now_s - last_s_) * rate_);
  last_s_ = now_s;
  if (level_ < amount) return false;
  level_ -= amount;
  return true;
}

std::string job::body() const {
  json record = {{"nameId", id},
                 {"lane", gang ? "train" : "scan"},
                 {"crew", team},
                 {"shape", gang ? "ensemble" : "sweep"},
                 {"urgency", priority},
                 {"pieces", tasks},
                 {"vcpus", cpus},
                 {"accelerators", gpus},
                 {"memGb", memory_gb},
                 {"bundle", "img-07"},
                 {"imageGb", 1.0},
                 {"flavors", nullptr},
                 {"yard", zone.empty() ? json(nullptr) : json(zone)},
                 {"together", one_zone},
                 {"scatter", spread},
                 {"loaners", spot},
                 {"guessS", run_s},
                 {"snapshotS", checkpoint_s},
                 {"stashS", save_s},
                 {"dueS", nullptr}};
  if (!awaits.empty()) record["awaits"] = awaits;
  return record.dump();
}

// ---- Key-value store ----

state_store::state_store(site& owner)
    : site_(owner), requests_(owner.options.state_rps), writes_(owner.options.state_write_rps) {
  site_.after(0.05, [this] { tick(); });
}

const json* state_store::find(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second.value;
}

void state_store::tick() {
  site_.after(0.05, [this] { tick(); });
  const double now = site_.now();
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (now < lease->second.until_s) {
      ++lease;
      continue;
    }
    const auto id = lease->first;
    lease = leases_.erase(lease);
    ++epoch_;
    std::vector<std::string> attached;
    for (const auto& [key, stored] : entries_) {
      if (stored.hold == id) attached.push_back(key);
    }
    for (const auto& key : attached) apply(key, nullptr, 0);
  }
  for (auto open = watches_.begin(); open != watches_.end();) {
    const json news = news_since(open->prefix, open->from);
    if (news.empty() && now < open->until_s) {
      ++open;
      continue;
    }
    open->reply(json_response(200, {{"epoch", epoch_}, {"news", news}}));
    open = watches_.erase(open);
  }
}

void state_store::handle(std::size_t node, const net::request& message,
                         const net::reply_fn& reply) {
  const treatment chosen = hook ? hook(node, message) : treatment{};
  using kind = treatment::kind;
  if (chosen.what == kind::no_answer_not_done) return;
  if (chosen.what == kind::refuse) return reply(json_response(503, {{"error", "trouble"}}));
  const double usual_s = site_.uniform(0.001, 0.004);
  site_.after(usual_s + chosen.delay_before_s, [this, message, reply, chosen] {
    const bool answered = chosen.what != kind::no_answer_done;
    if (message.method == "GET" && path_of(message.target) == "/changes") {
      if (!requests_.take(site_.now(), 1)) return reply(json_response(429, json::object()));
      return open_watch(message.target, reply);
    }
    const net::response result = perform(message);
    if (!answered) return;
    if (chosen.delay_after_s <= 0) return reply(result);
    site_.after(chosen.delay_after_s, [reply, result] { reply(result); });
  });
}

net::response state_store::perform(const net::request& message) {
  const double now = site_.now();
  if (!requests_.take(now, 1)) return json_response(429, {{"error", "too many requests"}});
  const std::string path = path_of(message.target);
  if (message.method == "GET" && starts_with(path, "/store/")) return read(path.substr(7));
  if (message.method == "GET" && path == "/store") return list(message.target);
  if (message.method == "POST" && path == "/multi") return transact(message.body);
  if (message.method == "POST" && path == "/leases") {
    const double ttl_s = json::parse(message.body).at("ttlMs").get<double>() / 1000;
    leases_[next_lease_] = {ttl_s, now + ttl_s};
    return json_response(200, {{"hold", next_lease_++}});
  }
  if (starts_with(path, "/leases/")) {
    const auto id = std::stoull(path.substr(8));
    const auto found = leases_.find(id);
    if (found == leases_.end()) return json_response(404, json::object());
    found->second.until_s = now + (message.method == "DELETE" ? 0 : found->second.ttl_s);
    return json_response(200, {{"hold", id}});
  }
  return json_response(400, json::object());
}

net::response state_store::read(const std::string& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return json_response(404, {{"epoch", epoch_}});
  json body = {{"k", key}, {"data", found->second.value}, {"stamp", found->second.stamp}};
  if (found->second.hold != 0) body["hold"] = found->second.hold;
  return json_response(200, body);
}

net::response state_store::list(const std::string& target) {
  const std::string prefix = parameter(target, "under");
  const std::string from = parameter(target, "from");
  const std::string most_text = parameter(target, "most");
  const std::size_t most = std::min<std::size_t>(1000, most_text.empty() ? 1000 : std::stoul(most_text));
  json body = {{"entries", json::array()}, {"truncated", false}, {"epoch", epoch_}};
  std::size_t bytes = 0;
  auto entry = from.empty() ? entries_.lower_bound(prefix) : entries_.upper_bound(from);
  for (; entry != entries_.end() && starts_with(entry->first, prefix); ++entry) {
    const json item = {
        {"k", entry->first}, {"data", entry->second.value}, {"stamp", entry->second.stamp}};
    bytes += item.dump().size();
    if (body["entries"].size() == most || bytes > page_bytes) {
      body["truncated"] = true;
      break;
    }
    body["entries"].push_back(item);
  }
  return json_response(200, body);
}

net::response state_store::transact(const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  if (body.is_discarded() || text.size() > transaction_bytes)
    return json_response(400, {{"error", "malformed or too large"}});
  const json conditions = body.value("if", json::array());
  const json operations = body.value("then", json::array());
  if (operations.size() > site_.options.txn_ops ||
      conditions.size() > 4 * site_.options.txn_ops)
    return json_response(400, {{"error", "too many"}});
  for (const auto& operation : operations) {
    if (operation.contains("hold") && leases_.count(operation["hold"].get<std::uint64_t>()) == 0)
      return json_response(400, {{"error", "no such lease"}});
    if (operation.contains("data") &&
        operation["data"].dump().size() > site_.options.value_kb * 1024)
      return json_response(400, {{"error", "value too large"}});
  }
  if (!writes_.take(site_.now(), static_cast<double>(operations.size())))
    return json_response(429, {{"error", "too many changes"}});
  json failed = json::array();
  for (const auto& condition : conditions) {
    const auto found = entries_.find(condition.at("k").get<std::string>());
    const std::uint64_t stamp = found == entries_.end() ? 0 : found->second.stamp;
    if (stamp != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition.at("k"));
  }
  if (!failed.empty()) return json_response(409, {{"failed", failed}, {"epoch", epoch_}});
  if (!operations.empty()) ++epoch_;
  for (const auto& operation : operations) {
    if (operation.contains("delete")) {
      apply(operation["delete"].get<std::string>(), nullptr, 0);
    } else {
      apply(operation.at("write").get<std::string>(), &operation.at("data"),
            operation.value("hold", std::uint64_t{0}));
    }
  }
  return json_response(200, {{"epoch", epoch_}});
}

void state_store::apply(const std::string& key, const json* value, std::uint64_t hold) {
  if (value == nullptr) {
    if (entries_.erase(key) == 0) return;
  } else {
    entries_[key] = {*value, epoch_, hold};
  }
  history_.push_back({epoch_, key, value == nullptr ? json() : *value});
  if (history_.size() > kept_changes) history_.pop_front();
  if (on_change) on_change(key, value);
}

json state_store::news_since(const std::string& prefix, std::uint64_t from) const {
  json news = json::array();
  for (const auto& change : history_) {
    if (change.stamp <= from || !starts_with(change.key, prefix)) continue;
    if (change.value.is_null()) {
      news.push_back({{"delete", change.key}, {"stamp", change.stamp}});
    } else {
      news.push_back({{"write", change.key}, {"data", change.value}, {"stamp", change.stamp}});
    }
  }
  return news;
}

void state_store::open_watch(const std::string& target, const net::reply_fn& reply) {
  const std::uint64_t from = std::stoull(parameter(target, "from"));
  const std::string hold_ms = parameter(target, "holdMs");
  if (history_.size() == kept_changes && from < history_.front().stamp)
    return reply(json_response(410, json::object()));
  watches_.push_back({parameter(target, "under"), from, reply,
                      site_.now() + (hold_ms.empty() ? 0 : std::stod(hold_ms) / 1000)});
}

// ---- Machines ----

machine::machine(site& owner, std::string name, std::string zone, bool spot, double ready_s)
    : site_(owner),
      name_(std::move(name)),
      zone_(std::move(zone)),
      spot_(spot),
      address_(owner.machine_address(owner.machines.size())),
      created_s_(owner.now()),
      target_(owner.machines.size()) {
  site_.after(ready_s, [this] { boot(); });
}

void machine::boot() {
  if (gone_) return;
  up_ = true;
  lease_from_s_ = site_.now();
  site_.listen(address_, [this](const net::request& message, const net::reply_fn& reply) {
    if (gone_ || (site_.commands_arrive && !site_.commands_arrive(*this))) return;
    if (hanging()) {
      held_commands_.emplace_back(message, reply);
    } else {
      reply(serve(message));
    }
  });
  schedule_report(0);
  step();
}

void machine::warn(double seconds_left) {
  taken_at_s_ = site_.now() + seconds_left;
  note_change();
}

bool machine::hanging() const { return site_.now() < hangs_until_s_; }

void machine::hang(double seconds) {
  hangs_until_s_ = site_.now() + seconds;
  site_.after(seconds, [this] {
    if (gone_ || hanging()) return;
    for (const auto& [message, reply] : std::exchange(held_commands_, {})) reply(serve(message));
    if (!in_flight_) schedule_report(0);
  });
}

void machine::remove() {
  gone_ = true;
  up_ = false;
  tasks_.clear();
}

json machine::report() {
  json body = {{"host", name_},   {"addr", address_}, {"flavor", "g8"},     {"yard", zone_},
               {"loaners", spot_}, {"shift", shift_},  {"tick", ++tick_},    {"baton", token_},
               {"warningS", nullptr}, {"pieces", json::array()}};
  if (taken_at_s_) body["warningS"] = std::max(0.0, *taken_at_s_ - site_.now());
  for (const auto& task : tasks_) {
    json piece = {{"piece", task.job + "/" + std::to_string(task.index)},
                  {"try", task.attempt},
                  {"status", task.status}};
    if (!task.cause.empty()) piece["cause"] = task.cause;
    if (task.kept) piece["kept"] = true;
    body["pieces"].push_back(piece);
  }
  return body;
}

void machine::schedule_report(double delay_s) {
  if (report_timer_ != 0) site_.runtime.cancel(report_timer_);
  report_timer_ = site_.runtime.after(gingerdrift::from_seconds(delay_s), [this] {
    report_timer_ = 0;
    if (!gone_ && !in_flight_ && !hanging()) send_report();
  });
}

/// A change is reported at once, though at most once per half second.
void machine::note_change() {
  if (in_flight_) {
    change_pending_ = true;
  } else {
    schedule_report(std::max(0.0, last_report_s_ + 0.5 - site_.now()));
  }
}

void machine::send_report() {
  in_flight_ = true;
  change_pending_ = false;
  last_report_s_ = site_.now();
  const std::size_t node = target_ % site_.options.controllers;
  const auto way = site_.report_link ? site_.report_link(*this, node) : site::passage::both;
  const std::string body = report().dump();
  if (body.size() > max_request_bytes) {
    // The protocol allows no larger request, so this report can't be sent.
    site_.note(format("%s has a report of %zu bytes, which can't be sent", name_.c_str(), body.size()));
    in_flight_ = false;
    return schedule_report(1);
  }
  const auto done = [this, sent_s = site_.now(), shift = shift_](const net::response& reply) {
    if (gone_) return;
    in_flight_ = false;
    // The answer that reaches a hanging machine is read when it goes on, and dropped if it is late.
    if (!hanging()) return answered(reply, sent_s, shift);
    site_.after(hangs_until_s_ - site_.now() + 0.01, [this, reply, sent_s, shift] {
      if (!gone_ && site_.now() - sent_s <= report_patience_s) answered(reply, sent_s, shift);
    });
  };
  const auto patience = gingerdrift::from_seconds(report_patience_s);
  if (way == site::passage::nothing) {
    site_.after(report_patience_s, [done] { done({}); });
  } else if (way == site::passage::report_only) {
    site_.runtime.call(site_.front(node), {"POST", "/v1/report", body}, patience,
                       [](const net::response&) {});
    site_.after(report_patience_s, [done] { done({}); });
  } else {
    site_.runtime.call(site_.front(node), {"POST", "/v1/report", body}, patience, done);
  }
}

void machine::answered(const net::response& reply, double sent_s, std::uint64_t shift) {
  const double usual_s = site_.options.report_s * site_.uniform(0.75, 1.25);
  if (reply.status == 421) {
    const json body = json::parse(reply.body, nullptr, false);
    const std::string boss = body.is_object() ? body.value("boss", std::string()) : std::string();
    for (std::size_t node = 0; node < site_.options.controllers; ++node) {
      const bool other = node != target_ % site_.options.controllers;
      if (other && boss == "node-" + std::to_string(node)) {
        target_ = node;
        return schedule_report(site_.uniform(0, 0.5));
      }
    }
  }
  if (reply.status != 200) {
    ++target_;
    return schedule_report(1);
  }
  schedule_report(std::max(0.0, sent_s + usual_s - site_.now()));
  if (site_.on_answer) site_.on_answer(*this, reply.body);
  const json body = json::parse(reply.body, nullptr, false);
  if (body.is_discarded() || !body.contains("baton") || shift != shift_) return;
  const auto token = body["baton"].get<std::uint64_t>();
  if (token < token_) return;
  if (token > token_) {
    token_ = token;
    if (site_.now() - last_token_report_s_ >= site_.options.lease_s / 2) {
      last_token_report_s_ = site_.now();
      note_change();
    }
  }
  lease_from_s_ = sent_s;
  if (execute(body.at("orders")) || change_pending_) note_change();
}

net::response machine::serve(const net::request& message) {
  if (message.target == "/show") return json_response(200, report());
  const json body = json::parse(message.body, nullptr, false);
  if (body.is_discarded() || !body.contains("baton") || !body.contains("shift"))
    return json_response(400, json::object());
  if (body["baton"].get<std::uint64_t>() < token_ || body["shift"].get<std::uint64_t>() != shift_)
    return json_response(409, report());
  token_ = body["baton"].get<std::uint64_t>();
  if (execute(body.at("orders"))) note_change();
  return json_response(200, report());
}

/// Carries out commands; returns whether anything changed.
bool machine::execute(const json& orders) {
  for (const auto& order : orders) {
    const auto verb = order.at("verb").get<std::string>();
    const auto piece = order.at("piece").get<std::string>();
    const auto attempt = order.at("try").get<std::uint64_t>();
    if (verb == "run") run(piece, attempt);
    if (verb == "stop") stop(piece, attempt, order.value("mercyS", 0.0));
    if (verb == "reap") reap(piece, attempt);
  }
  return !orders.empty();
}

void machine::run(const std::string& piece, std::uint64_t attempt) {
  const auto slash = piece.rfind('/');
  task started;
  started.job = piece.substr(0, slash);
  started.index = std::stoi(piece.substr(slash + 1));
  started.attempt = attempt;
  started.since_s = site_.now();
  const auto description = site_.jobs.find(started.job);
  double used_gpus = 0;
  for (const auto& other : tasks_) {
    if (other.job == started.job && other.index == started.index) {
      if (other.attempt == attempt) return;
      if (other.status != "ended") {
        started.status = "ended";
        started.cause = "in_use";
      }
    }
    if (other.status != "ended") used_gpus += site_.jobs.at(other.job).gpus;
  }
  if (description == site_.jobs.end()) {
    started.status = "ended";
    started.cause = "unknown";
  } else if (used_gpus + description->second.gpus > 8 + 1e-9 && started.cause.empty()) {
    started.status = "ended";
    started.cause = "no_room";
  }
  site_.note(format("%s run %s try %llu%s%s", name_.c_str(), piece.c_str(),
                    static_cast<unsigned long long>(attempt), started.cause.empty() ? "" : " refused: ",
                    started.cause.c_str()));
  tasks_.push_back(started);
  if (started.cause.empty() && site_.on_run) site_.on_run(*this, started);
}

void machine::end(task& ended, const std::string& cause) {
  site_.note(format("%s end %s/%d try %llu: %s", name_.c_str(), ended.job.c_str(), ended.index,
                    static_cast<unsigned long long>(ended.attempt), cause.c_str()));
  ended.status = "ended";
  ended.cause = cause;
  if (cause == "done") {
    const auto& description = site_.jobs.at(ended.job);
    for (int i = 0; i < description.tasks; ++i) {
      if (description.gang || i == ended.index) site_.done_tasks.insert({ended.job, i});
    }
  }
  if (site_.on_end) site_.on_end(*this, ended);
  note_change();
}

void machine::stop(const std::string& piece, std::uint64_t attempt, double mercy_s) {
  for (auto& task : tasks_) {
    if (task.job + "/" + std::to_string(task.index) != piece || task.attempt != attempt) continue;
    if (task.status == "ended") continue;
    const auto& description = site_.jobs.at(task.job);
    const bool can_save = task.status == "running" && description.checkpoint_s > 0;
    if (can_save && mercy_s >= description.save_s && mercy_s > 0) {
      task.status = "flushing";
      task.since_s = site_.now();
    } else if (task.status != "flushing" || mercy_s <= 0) {
      end(task, "halted");
    }
  }
}

void machine::reap(const std::string& piece, std::uint64_t attempt) {
  std::erase_if(tasks_, [&](const task& candidate) {
    return candidate.job + "/" + std::to_string(candidate.index) == piece &&
           candidate.attempt == attempt && candidate.status == "ended";
  });
}

void machine::step() {
  if (gone_) return;
  site_.after(step_s, [this] { step(); });
  if (hanging()) return;
  const double now = site_.now();
  if (now - lease_from_s_ > site_.options.lease_s) {
    if (!tasks_.empty()) site_.note(name_ + " lease expired, kills all its tasks");
    tasks_.clear();
    ++shift_;
    tick_ = 0;
    lease_from_s_ = now;
    note_change();
  }
  for (auto& task : tasks_) {
    const auto& description = site_.jobs.at(task.job);
    if (task.status == "pulling" && now - task.since_s >= site_.fetch_s) {
      if (site_.done_tasks.count({task.job, task.index}) != 0) {
        end(task, "done");
        continue;
      }
      task.status = description.gang ? "waiting" : "running";
      task.since_s = now;
      site_.note(format("%s start %s/%d try %llu", name_.c_str(), task.job.c_str(), task.index,
                        static_cast<unsigned long long>(task.attempt)));
      if (site_.on_start) site_.on_start(*this, task);
      note_change();
    }
    std::size_t members = 0;
    std::size_t alive = 0;
    if (description.gang && (task.status == "waiting" || task.status == "running")) {
      for (const auto& other : site_.machines) {
        for (const auto& candidate : other->tasks_) {
          if (candidate.job != task.job || candidate.attempt != task.attempt) continue;
          members += candidate.status == "waiting" || candidate.status == "running";
          alive += candidate.status != "ended" || candidate.cause == "done";
        }
      }
    }
    if (task.status == "waiting") {
      if (members == static_cast<std::size_t>(description.tasks)) {
        task.status = "running";
        task.since_s = now;
        note_change();
      } else if (now - task.since_s > site_.options.gang_wait_s) {
        end(task, "alone");
      }
    } else if (task.status == "running") {
      const bool mates_gone = description.gang && alive < static_cast<std::size_t>(description.tasks);
      if (mates_gone && now - task.since_s > site_.options.gang_peer_s) {
        end(task, "mates_gone");
      } else if (now - task.since_s >= description.run_s) {
        end(task, "done");
      }
    } else if (task.status == "flushing" && now - task.since_s >= description.save_s) {
      task.kept = true;
      end(task, "halted");
    }
  }
}

// ---- Controllers ----

void controller::start(const std::string& program, const std::string& settings,
                       const std::string& log) {
  if (pid_ != 0) return;
  const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(file, STDERR_FILENO);
    std::vector<std::string> words;
    std::istringstream line(program);
    for (std::string word; line >> word;) words.push_back(word);
    words.push_back(settings);
    std::vector<char*> arguments;
    for (auto& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  close(file);
  if (child < 0) throw std::runtime_error("fork failed");
  pid_ = child;
}

void controller::signal(int number) const {
  if (pid_ != 0) ::kill(pid_, number);
}

void controller::kill_and_wait() {
  if (pid_ == 0) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool controller::ended_by_itself() {
  if (pid_ == 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

// ---- Site ----

site::site(site_options chosen)
    : options(std::move(chosen)),
      runtime(client_limits()),
      store(*this),
      controllers_(options.controllers),
      start_(runtime.now()) {
  signal(SIGPIPE, SIG_IGN);
  random.seed(std::random_device{}());
  const char* record = std::getenv("RECORD");
  record_ = std::fopen(record == nullptr ? "record.txt" : record, "w");
  program_ = deploy_field("run");
  std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no temporary folder");
  directory_ = folder;
  // A block of loopback addresses of its own, so that several cases can run at the same time.
  for (int attempt = 0;; ++attempt) {
    const unsigned number = static_cast<unsigned>(getpid()) + 7919u * static_cast<unsigned>(attempt);
    block_ = "127." + std::to_string(1 + number / 250 % 250) + "." +
             std::to_string(1 + number % 250) + ".";
    try {
      for (std::size_t node = 0; node < options.controllers; ++node) {
        listen(host(10 + node) + ":2379",
               [this, node](const net::request& message, const net::reply_fn& reply) {
                 store.handle(node, message, reply);
               });
      }
      break;
    } catch (const std::exception&) {
      servers_.clear();
      if (attempt == 20) throw;
    }
  }
  for (std::size_t node = 0; node < options.controllers; ++node) {
    listen(host(10 + node) + ":8443",
           [this](const net::request& message, const net::reply_fn& reply) {
             after(0.02, [this, message, reply] { reply(handle_cloud(message)); });
           });
    serve_controller_links(node);
    write_settings(node);
  }
}

site::~site() { finish(could_not_run); }

void site::finish(int status) {
  for (auto& process : controllers_) process.kill_and_wait();
  const char* const text = status == rule_broken ? "rule broken"
                           : status == rule_held ? "rule held"
                                                 : "the case could not run";
  note(text);
  std::printf("%s\n", text);
  std::fclose(record_);
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  } else {
    std::printf("logs: %s\n", directory_.c_str());
  }
  std::fflush(stdout);
  std::_Exit(status);
}

std::string site::host(std::size_t last) const { return block_ + std::to_string(last); }
std::string site::front(std::size_t node) const { return host(10 + node) + ":8080"; }
std::string site::machine_address(std::size_t index) const {
  return host(200) + ":" + std::to_string(10000 + index);
}

double site::now() const {
  return gingerdrift::to_seconds(std::chrono::steady_clock::now() - start_);
}

void site::note(const std::string& text) {
  std::fprintf(record_, "%8.3f %s\n", now(), text.c_str());
  std::fflush(record_);
}

void site::after(double delay_s, std::function<void()> action) {
  runtime.after(gingerdrift::from_seconds(delay_s), std::move(action));
}

double site::uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random);
}

void site::run_for(double seconds) {
  const auto timer = runtime.after(gingerdrift::from_seconds(seconds), [this] { runtime.stop(); });
  runtime.run();
  runtime.cancel(timer);
}

bool site::run_until(const std::function<bool()>& condition, double limit_s) {
  const double end = now() + limit_s;
  while (!condition()) {
    if (now() >= end) return false;
    run_for(0.005);
  }
  return true;
}

void site::listen(const std::string& address, net::handler_fn handler) {
  net::server_limits limits;
  limits.connections = 2000;
  limits.backlog = 512;
  limits.request_body_bytes = std::size_t{256} << 10;
  auto server = std::make_unique<net::http_server>(runtime, limits, std::move(handler));
  if (const auto error = server->listen(address)) throw std::runtime_error(error->message());
  servers_.push_back(std::move(server));
}

void site::serve_controller_links(std::size_t node) {
  for (std::size_t peer = 0; peer < options.controllers; ++peer) {
    if (peer == node) continue;
    listen(host(10 + node) + ":" + std::to_string(9000 + peer),
           [this, node, peer](const net::request& message, const net::reply_fn& reply) {
             const auto there = peer_link ? peer_link(node, peer) : std::optional<double>(0);
             if (!there) return;
             const auto forward = [this, node, peer, message, reply] {
               runtime.call(host(10 + peer) + ":8081", message, std::chrono::seconds(20),
                            [this, node, peer, reply](const net::response& result) {
                              if (result.status == 0) return;
                              const auto back =
                                  peer_link ? peer_link(peer, node) : std::optional<double>(0);
                              if (!back) return;
                              if (*back <= 0) return reply(result);
                              after(*back, [reply, result] { reply(result); });
                            });
             };
             if (*there <= 0) return forward();
             after(*there, forward);
           });
  }
}

void site::write_settings(std::size_t node) {
  std::ofstream out(directory_ + "/node-" + std::to_string(node) + ".toml");
  out << "host_name = \"node-" << node << "\"\nlocation = \"" << options.zones[node]
      << "\"\nfront = \"" << front(node) << "\"\nmesh_addr = \"" << host(10 + node)
      << ":8081\"\n";
  for (std::size_t peer = 0; peer < options.controllers; ++peer) {
    if (peer == node) continue;
    out << "[[known]]\nhost_name = \"node-" << peer << "\"\nlocation = \"" << options.zones[peer]
        << "\"\naddress = \"" << host(10 + node) << ":" << 9000 + peer << "\"\n";
  }
  out << "[services]\ncloud = \"" << host(10 + node) << ":8443\"\nstate = \"" << host(10 + node)
      << ":2379\"\n[params]\ncount = " << options.controllers << "\nzones = [";
  for (std::size_t i = 0; i < options.machine_zones.size(); ++i)
    out << (i == 0 ? "" : ", ") << '"' << options.machine_zones[i] << '"';
  out << "]\nclock_off_ms = 100.0\n";
  for (const auto& team : options.teams) {
    out << "[[params.teams]]\nname = \"" << team.name << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = "
        << format("%.1f", team.gpus) << "\ngpus_max = " << format("%.1f", team.gpus_max) << "\n";
  }
  out << "[params.workers]\nreport_s = " << format("%.2f", options.report_s)
      << "\nlease_s = " << format("%.2f", options.lease_s)
      << "\ngang_wait_s = " << format("%.2f", options.gang_wait_s)
      << "\ngang_peer_s = " << format("%.2f", options.gang_peer_s)
      << "\ncancel_s = " << format("%.2f", options.cancel_s) << "\n[params.state]\nrps = "
      << format("%.1f", options.state_rps) << "\nwrite_rps = "
      << format("%.1f", options.state_write_rps) << "\nvalue_kb = "
      << format("%.1f", options.value_kb) << "\ntxn_ops = " << options.txn_ops << "\n";
  if (!options.announced_limits.empty())
    out << "[params.state.next]\n" << options.announced_limits;
  out << "[params.cloud]\nrps = " << format("%.1f", options.cloud_rps)
      << "\nlist_lag_s = " << format("%.1f", options.list_lag_s)
      << "\n[params.machine_limits]\ncpu_share = 0.2\nmemory_mb = 136.0\nmax_connections = 1500\n";
}

void site::start_controller(std::size_t node) {
  note(format("start controller node-%zu", node));
  const std::string base = directory_ + "/node-" + std::to_string(node);
  controllers_[node].start(program_, base + ".toml", base + ".log");
}

void site::start_controllers() {
  for (std::size_t node = 0; node < options.controllers; ++node) start_controller(node);
}

void site::kill_controller(std::size_t node) {
  note(format("kill controller node-%zu", node));
  controllers_[node].kill_and_wait();
}

void site::pause_controller(std::size_t node) {
  note(format("stop controller node-%zu (SIGSTOP)", node));
  controllers_[node].signal(SIGSTOP);
}

void site::resume_controller(std::size_t node) {
  note(format("continue controller node-%zu (SIGCONT)", node));
  controllers_[node].signal(SIGCONT);
}

bool site::any_controller_ended() {
  bool ended = false;
  for (auto& process : controllers_) ended = process.ended_by_itself() || ended;
  return ended;
}

std::optional<std::size_t> site::leader() const {
  const json* record = store.find("gd/leader");
  if (record == nullptr) return std::nullopt;
  const auto name = record->value("node", std::string());
  return std::stoul(name.substr(name.rfind('-') + 1));
}

// ---- Users ----

void site::request(std::size_t node, const std::string& method, const std::string& target,
                   const std::string& body, double patience_s, answer_fn done) {
  const double asked_s = now();
  runtime.call(front(node), {method, target, body}, gingerdrift::from_seconds(patience_s),
               [this, node, method, target, asked_s, done](const net::response& reply) {
                 answer received{reply.status, {}, asked_s, now()};
                 const json parsed = json::parse(reply.body, nullptr, false);
                 if (parsed.is_object()) received.state = parsed.value("status", std::string());
                 note(format("user %s %s at node-%zu (asked %.3f): %d %s", method.c_str(),
                             target.c_str(), node, asked_s, received.status,
                             reply.body.substr(0, 120).c_str()));
                 if (done) done(received);
               });
}

void site::submit(const job& submitted, std::size_t node, answer_fn done) {
  jobs[submitted.id] = submitted;
  request(node, "POST", "/work", submitted.body(), users_patience_s,
          [this, id = submitted.id, done](const answer& received) {
            if (received.status == 200 || received.status == 201) accepted.insert(id);
            if (done) done(received);
          });
}

void site::poll(const std::string& id, std::size_t node, answer_fn done) {
  request(node, "GET", "/work/" + id, "", poll_patience_s,
          [this, id, done](const answer& received) {
            const bool is_final = received.state == "done" || received.state == "cancelled";
            if (received.status == 200 && is_final) final_state.emplace(id, received.state);
            if (done) done(received);
          });
}

void site::withdraw(const std::string& id, std::size_t node, answer_fn done) {
  request(node, "POST", "/work/" + id + "/withdraw", "", users_patience_s,
          [this, id, done](const answer& received) {
            if (received.status == 200) final_state.emplace(id, received.state);
            if (received.status == 200 && received.state == "cancelled")
              cancelled_at_s.emplace(id, now());
            if (done) done(received);
          });
}

void site::submit_until_accepted(const job& submitted, std::size_t first_node) {
  submit(submitted, first_node % options.controllers, [this, submitted, first_node](
                                                          const answer& received) {
    if (received.status == 200 || received.status == 201 || received.status == 400 ||
        received.status == 422)
      return;
    after(1, [this, submitted, first_node] { submit_until_accepted(submitted, first_node + 1); });
  });
}

void site::withdraw_until_answered(const std::string& id, std::size_t first_node) {
  withdraw(id, first_node % options.controllers, [this, id, first_node](const answer& received) {
    if (received.status == 200) return;
    after(1, [this, id, first_node] { withdraw_until_answered(id, first_node + 1); });
  });
}

// ---- Cloud ----

machine& site::add_machine(const std::string& zone, bool spot, double ready_s) {
  machines.push_back(std::make_unique<machine>(*this, format("n-%06zu", next_machine_++), zone,
                                               spot, ready_s));
  return *machines.back();
}

double site::gpus_in_use(const std::string& team) const {
  double used = 0;
  for (const auto& host : machines) {
    for (const auto& task : host->tasks()) {
      if (task.on_machine() && jobs.at(task.job).team == team) used += jobs.at(task.job).gpus;
    }
  }
  return used;
}

net::response site::handle_cloud(const net::request& message) {
  const std::string path = path_of(message.target);
  if (path == "/flavors") {
    const json flavor = {{"label", "g8"},       {"vcpus", 96},    {"accelerators", 8},
                         {"memGb", 768},        {"localGb", 200}, {"pullGbPerS", 1.0},
                         {"hourly", 12.0},      {"spotPrice", 4.5}, {"readyS", options.boot_s},
                         {"yards", options.machine_zones}};
    return json_response(200, {{"flavors", json::array({flavor})}});
  }
  if (path == "/rentals/release") {
    const json names = json::parse(message.body).at("hosts");
    for (const auto& host : machines) {
      if (std::find(names.begin(), names.end(), host->name()) == names.end() || host->gone())
        continue;
      note("cloud releases " + host->name());
      host->remove();
    }
    return json_response(200, json::object());
  }
  if (message.method == "POST") {
    const json body = json::parse(message.body);
    const auto ask = body.at("ask").get<std::string>();
    if (rentals_.count(ask) != 0) return json_response(200, {{"hosts", rentals_[ask]}});
    const auto zone = body.at("yard").get<std::string>();
    const bool spot = body.at("loaners").get<bool>();
    std::size_t present = 0;
    for (const auto& host : machines)
      present += !host->gone() && host->zone() == zone && host->spot() == spot;
    std::vector<std::string> names;
    for (int i = 0; i < body.at("howMany").get<int>() && present < options.capacity; ++i, ++present)
      names.push_back(add_machine(zone, spot, options.boot_s * uniform(0.6, 1.5)).name());
    if (names.empty()) return json_response(503, {{"error", "no capacity"}});
    for (const auto& name : names) note("cloud rents " + name + " for " + ask);
    rentals_[ask] = names;
    return json_response(200, {{"hosts", names}});
  }
  json hosts = json::array();
  for (const auto& host : machines) {
    if (host->gone()) continue;
    hosts.push_back({{"nameId", host->name()},
                     {"addr", host->address()},
                     {"flavor", "g8"},
                     {"yard", host->zone()},
                     {"loaners", host->spot()},
                     {"status", host->up() ? "running" : "starting"},
                     {"ageS", now() - host->created_s()}});
  }
  listings_.push_back({now(), hosts});
  json shown = json::array();
  const double lag = options.list_lag_s;
  for (const auto& [taken, listing] : listings_) {
    if (taken <= now() - lag) shown = listing;
  }
  while (listings_.size() > 200) listings_.pop_front();
  return json_response(200, {{"hosts", shown}, {"truncated", false}});
}

}  // namespace review
