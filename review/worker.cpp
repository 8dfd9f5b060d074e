#include "worker.hpp"

#include <fmt/format.h>

#include "fleet.hpp"

namespace review {

namespace net = gingerdrift::net;

namespace {
constexpr duration answer_deadline = std::chrono::seconds(4);
constexpr duration next_controller_delay = std::chrono::seconds(1);
constexpr duration shortest_report_interval = std::chrono::milliseconds(500);
constexpr double fetch_gb_per_s = 0.6;
constexpr int redirected = 421;
}  // namespace

worker::worker(fleet& owner, std::string name, machine_kind kind)
    : fleet_(owner),
      name_(std::move(name)),
      kind_(std::move(kind)),
      address_(free_address()),
      created_at_(owner.runtime().now()),
      target_(std::hash<std::string>{}(name_) % owner.settings().controllers.size()),
      report_timer_(owner.runtime()) {}

void worker::boot() {
  if (gone_) return;
  up_ = true;
  lease_from_ = fleet_.runtime().now();
  server_ = serve(fleet_.runtime(), address_,
                  [this](const net::request& message, const net::reply_fn& reply) {
                    handle_request(message, reply);
                  });
  fleet_.log().write("worker " + name_ + " is up at " + address_);
  send_report();
}

void worker::vanish() {
  gone_ = true;
  tasks_.clear();
  report_timer_.cancel();
  server_.reset();
  fleet_.log().write("machine " + name_ + " is gone");
}

bool worker::is_idle() const {
  for (const auto& [name, task] : tasks_) {
    if (task.status != "ended") return false;
  }
  return true;
}

bool worker::answered_within(duration age) const {
  return last_answered_ != time_point{} && fleet_.runtime().now() - last_answered_ <= age;
}

json worker::report() {
  json pieces = json::array();
  for (const auto& [name, task] : tasks_) {
    json piece = {{"piece", name}, {"try", task.attempt}, {"status", task.status}};
    if (task.status == "ended") piece["cause"] = task.cause;
    if (task.cause == "halted") piece["kept"] = task.saved;
    pieces.push_back(piece);
  }
  return {{"host", name_},       {"addr", address_},  {"flavor", kind_.type},
          {"yard", kind_.zone},  {"loaners", kind_.spot}, {"shift", session_},
          {"tick", ++tick_},     {"baton", token_},   {"warningS", nullptr},
          {"pieces", pieces}};
}

void worker::schedule_report(duration delay) {
  report_timer_.start(delay, [this] { send_report(); });
}

/// Reports a change as soon as the interval between two reports allows.
void worker::note_change() {
  if (report_in_flight_ || gone_ || !up_) return;
  const duration age = fleet_.runtime().now() - last_report_;
  schedule_report(std::max<duration>(duration::zero(), shortest_report_interval - age));
}

void worker::send_report() {
  if (gone_ || report_in_flight_) return;
  report_in_flight_ = true;
  last_report_ = fleet_.runtime().now();
  const auto& [host, address] = fleet_.settings().controllers[target_];
  fleet_.runtime().call(
      address, {"POST", "/v1/report", report().dump()}, answer_deadline,
      guard_.wrap([this, sent = last_report_, session = session_](const net::response& answer) {
        report_in_flight_ = false;
        if (!gone_) report_answered(answer, sent, session);
      }));
}

void worker::go_to_next_controller() {
  target_ = (target_ + 1) % fleet_.settings().controllers.size();
  schedule_report(next_controller_delay);
}

void worker::report_answered(const net::response& answer, time_point sent, std::uint64_t session) {
  if (answer.status == redirected) {
    const json body = json::parse(answer.body, nullptr, false);
    const std::string boss = body.is_object() ? body.value("boss", "") : "";
    const auto& controllers = fleet_.settings().controllers;
    for (std::size_t i = 0; i < controllers.size(); ++i) {
      if (controllers[i].first != boss || i == target_) continue;
      target_ = i;
      return schedule_report(from_seconds(fleet_.random(0, 0.5)));
    }
    return go_to_next_controller();
  }
  if (answer.status != 200) return go_to_next_controller();
  const double interval_s = fleet_.settings().workers.report_s * fleet_.random(0.75, 1.25);
  const duration passed = fleet_.runtime().now() - sent;
  schedule_report(std::max<duration>(from_seconds(interval_s) - passed, duration::zero()));
  const json body = json::parse(answer.body, nullptr, false);
  const auto token = body.is_object() ? body.value("baton", std::uint64_t{0}) : 0;
  if (session != session_ || token == 0 || token < token_) return;
  token_ = token;
  lease_from_ = sent;
  last_answered_ = sent;
  execute(body.at("orders"));
}

void worker::execute(const json& commands) {
  if (!commands.empty()) fleet_.log().write("commands for " + name_ + " " + commands.dump());
  for (const auto& command : commands) {
    const auto task = command.at("piece").get<std::string>();
    const auto attempt = command.at("try").get<std::uint64_t>();
    const auto verb = command.at("verb").get<std::string>();
    if (verb == "run") start_task(task, attempt);
    if (verb == "stop") stop_task(task, attempt, command.value("mercyS", 0.0));
    const auto known = tasks_.find(task);
    if (verb == "reap" && known != tasks_.end() && known->second.attempt == attempt &&
        known->second.status == "ended")
      tasks_.erase(known);
  }
}

void worker::start_task(const std::string& task, std::uint64_t attempt) {
  const auto known = tasks_.find(task);
  if (known != tasks_.end()) return;  // the attempt exists, or another one is still reported
  const submitted_job* job = fleet_.job_of(task);
  tasks_[task].attempt = attempt;
  if (job == nullptr) return set_status(task, "ended", "unknown");
  const auto image = job->body.at("bundle").get<std::string>();
  const double fetch_s = job->body.at("imageGb").get<double>() / fetch_gb_per_s;
  images_.try_emplace(image, fleet_.runtime().now() + from_seconds(fetch_s));
  set_status(task, "pulling");
  fleet_.on_start(task);
}

void worker::stop_task(const std::string& task, std::uint64_t attempt, double grace_s) {
  const auto known = tasks_.find(task);
  if (known == tasks_.end() || known->second.attempt != attempt) return;
  if (known->second.status == "ended") return;
  const auto& body = fleet_.job_of(task)->body;
  const bool saves = known->second.status == "running" && body.at("snapshotS") > 0.0 &&
                     body.at("stashS") <= grace_s;
  if (saves) {
    // A gang's progress is only saved by its own checkpoints here.
    known->second.saved = body.at("shape") == "sweep";
    if (known->second.saved)
      fleet_.saved_progress_s(task) += to_seconds(fleet_.runtime().now() - known->second.since);
    return set_status(task, "flushing");
  }
  if (known->second.status == "flushing" && grace_s > 0) return;
  set_status(task, "ended", "halted");
}

void worker::handle_request(const net::request& message, const net::reply_fn& reply) {
  if (message.method == "GET" && message.target == "/show")
    return reply(json_response(200, report()));
  const json body = json::parse(message.body, nullptr, false);
  if (!body.is_object() || !body.contains("baton") || !body.contains("shift"))
    return reply(json_response(400, json::object()));
  const auto token = body["baton"].get<std::uint64_t>();
  if (token < token_ || body["shift"].get<std::uint64_t>() != session_)
    return reply(json_response(409, report()));
  token_ = token;
  execute(body.value("orders", json::array()));
  reply(json_response(200, report()));
}

void worker::set_status(const std::string& task, const std::string& status,
                        const std::string& cause) {
  auto& changed = tasks_.at(task);
  changed.status = status;
  changed.cause = cause;
  changed.since = fleet_.runtime().now();
  fleet_.log().write(fmt::format("task {} attempt {} on {}: {} {}", task, changed.attempt, name_,
                                 status, cause));
  note_change();
}

void worker::step() {
  if (!is_up()) return;
  const time_point now = fleet_.runtime().now();
  if (now - lease_from_ > from_seconds(fleet_.settings().workers.lease_s)) {
    if (!tasks_.empty()) fleet_.log().write("lease of " + name_ + " expired; its tasks are killed");
    tasks_.clear();
    ++session_;
    lease_from_ = now;
    note_change();
  }
  for (auto& [name, task] : tasks_) step_task(name, task);
}

void worker::step_task(const std::string& name, reported_task& task) {
  const submitted_job* job = fleet_.job_of(name);
  if (job == nullptr || task.status == "ended") return;
  const auto& body = job->body;
  const time_point now = fleet_.runtime().now();
  const duration age = now - task.since;
  const bool gang = body.at("shape") == "ensemble";
  const auto members = body.at("pieces").get<std::size_t>();
  const std::string id = job_name(name);
  const std::string progress = gang ? id : name;
  if (task.status == "pulling") {
    if (now < images_.at(body.at("bundle").get<std::string>())) return;
    if (fleet_.results().count(name) != 0) return set_status(name, "ended", "done");
    return set_status(name, gang ? "waiting" : "running");
  }
  if (task.status == "waiting") {
    if (fleet_.count_members(id, task.attempt, {"waiting", "running"}) == members)
      return set_status(name, "running");
    if (to_seconds(age) > fleet_.settings().workers.gang_wait_s) set_status(name, "ended", "alone");
    return;
  }
  if (task.status == "flushing") {
    if (to_seconds(age) < body.at("stashS").get<double>()) return;
    return set_status(name, "ended", "halted");
  }
  if (to_seconds(age) + fleet_.saved_progress_s(progress) >= job->run_s) {
    fleet_.add_result(name);
    return set_status(name, "ended", "done");
  }
  if (!gang || fleet_.results().count(id + "/0") != 0) return;
  const bool complete =
      fleet_.count_members(id, task.attempt, {"waiting", "running", "flushing"}) == members;
  if (!complete && to_seconds(age) > fleet_.settings().workers.gang_peer_s)
    set_status(name, "ended", "mates_gone");
}

}  // namespace review
