#include "support/sim_machine.hpp"

#include "support/sim_fleet.hpp"

namespace gingerdrift::testing {

namespace {

constexpr auto step_interval = milliseconds(100);
/// The time after which a worker drops the answer to a heartbeat.
constexpr auto heartbeat_deadline = seconds(4);

const char* wire_name(task_phase phase) {
  switch (phase) {
    case task_phase::fetching:
      return "pulling";
    case task_phase::waiting_for_gang:
      return "waiting";
    case task_phase::running:
      return "running";
    case task_phase::saving:
      return "flushing";
    case task_phase::ended:
      break;
  }
  return "ended";
}

const char* wire_name(exit_cause cause) {
  switch (cause) {
    case exit_cause::done:
      return "done";
    case exit_cause::failed:
      return "error";
    case exit_cause::stopped:
      return "halted";
    case exit_cause::gang_incomplete:
      return "alone";
    case exit_cause::gang_peers_lost:
      return "mates_gone";
    case exit_cause::none:
      break;
  }
  return "";
}

}  // namespace

struct sim_machine::command {
  enum class type { run, stop, acknowledge_exit };
  type kind;
  task_key task;
  std::uint64_t attempt;
  double grace_s;  // for a stop: time that the task may take to save its state
};

sim_machine::sim_machine(sim_fleet& fleet, std::string name, std::string zone, bool spot)
    : fleet_(fleet),
      name_(std::move(name)),
      zone_(std::move(zone)),
      spot_(spot),
      created_at_(fleet.context().net.now()) {}

time_point sim_machine::now() const { return context().net.now(); }
site_context& sim_machine::context() const { return fleet_.context(); }

void sim_machine::boot() {
  if (is_gone()) return;
  state_ = state::up;
  lease_from_ = now();
  context().net.serve(name_, name_ + ":9",
                      [this](const net::request& message, const net::reply_fn& reply) {
                        serve_request(message, reply);
                      });
  context().net.after(duration::zero(), guard_.wrap([this] { heartbeat(); }));
  step();
}

void sim_machine::vanish() {
  state_ = state::gone;
  tasks_.clear();
  context().net.stop(name_);
}

void sim_machine::serve_request(const net::request& message, const net::reply_fn& reply) {
  if (is_hanging()) {
    // The commands are executed when the machine resumes. No answer is sent, because the sender
    // will have reached its deadline by then.
    if (message.target == "/orders") held_commands_.push_back(message.body);
    return;
  }
  const bool is_status_query = message.target == "/show";
  const int result = is_status_query || accept_commands(message.body) ? 200 : 409;
  reply(json_response(result, status()));
}

json sim_machine::status() {
  json body = {{"host", name_},       {"addr", context().machine_address(name_)},
               {"flavor", "g8"},      {"yard", zone_},
               {"loaners", spot_},    {"shift", incarnation_},
               {"tick", ++sequence_}, {"baton", token_},
               {"warningS", nullptr}, {"pieces", json::array()}};
  for (const auto& [key, reported] : tasks_) {
    json entry = {{"piece", key.job + "/" + std::to_string(key.index)},
                  {"try", reported.attempt},
                  {"status", wire_name(reported.phase)}};
    if (reported.cause != exit_cause::none) entry["cause"] = wire_name(reported.cause);
    body["pieces"].push_back(entry);
  }
  return body;
}

void sim_machine::heartbeat() {
  if (is_gone()) return;
  const duration next =
      from_seconds(context().parameters.heartbeat_s * context().net.uniform(0.75, 1.25));
  context().net.after(next, guard_.wrap([this] { heartbeat(); }));
  if (!heartbeat_in_flight_ && !is_hanging()) send_heartbeat();
}

void sim_machine::send_heartbeat() {
  heartbeat_in_flight_ = true;
  const std::string address =
      context().controller_addresses[target_ % context().controller_addresses.size()];
  context().net.call(name_, address, {"POST", "/v1/report", status().dump()}, heartbeat_deadline,
                     guard_.wrap([this, address, sent = now(),
                                  incarnation = incarnation_](const net::response& reply) {
                       if (is_gone()) return;
                       heartbeat_in_flight_ = false;
                       if (is_hanging()) return;
                       if (reply.status == 421) return follow_redirect(reply);
                       if (reply.status != 200) {
                         ++target_;
                         return;
                       }
                       if (incarnation == incarnation_) heartbeat_answered(reply, address, sent);
                     }));
}

void sim_machine::follow_redirect(const net::response& reply) {
  const auto leader = json::parse(reply.body).value("boss", std::string());
  ++target_;
  for (std::size_t i = 0; i < context().controller_addresses.size(); ++i) {
    if (host_of(context().controller_addresses[i]) == leader) target_ = i;
  }
}

void sim_machine::heartbeat_answered(const net::response& reply, const std::string& address,
                                     time_point sent) {
  const json body = json::parse(reply.body);
  if (body.value("baton", std::uint64_t{0}) < token_) return;
  token_ = body["baton"].get<std::uint64_t>();
  lease_from_ = sent;
  if (!tasks_.empty()) fleet_.lease_renewed(address);
  execute(body.at("orders"));
}

bool sim_machine::accept_commands(const std::string& text) {
  const json body = json::parse(text);
  const auto token = body.at("baton").get<std::uint64_t>();
  if (token < token_ || body.at("shift").get<std::uint64_t>() != incarnation_) return false;
  token_ = token;
  if (context().net.is_mute(name_)) ++context().event_counts["commands_to_mute_machines"];
  execute(body.at("orders"));
  return true;
}

sim_machine::command sim_machine::read_command(const json& order) {
  static const std::map<std::string, command::type> command_types = {
      {"run", command::type::run},
      {"stop", command::type::stop},
      {"reap", command::type::acknowledge_exit}};
  const auto piece = order.at("piece").get<std::string>();
  const auto slash = piece.rfind('/');
  const auto index = static_cast<std::uint32_t>(std::stoul(piece.substr(slash + 1)));
  const auto kind = command_types.at(order.at("verb").get<std::string>());
  return {.kind = kind,
          .task = {piece.substr(0, slash), index},
          .attempt = order.at("try").get<std::uint64_t>(),
          .grace_s = kind == command::type::stop ? order.at("mercyS").get<double>() : 0};
}

void sim_machine::execute(const json& commands) {
  for (const auto& order : commands) {
    const command next = read_command(order);
    switch (next.kind) {
      case command::type::run:
        start_task(next);
        break;
      case command::type::stop:
        stop_task(next);
        break;
      case command::type::acknowledge_exit:
        acknowledge_exit(next);
        break;
    }
  }
}

void sim_machine::start_task(const command& start) {
  if (tasks_.count(start.task) != 0) return;
  fleet_.run_command_accepted(start.task.job);
  task started;
  started.job = &context().jobs.at(start.task.job);
  started.attempt = start.attempt;
  auto& net = context().net;
  const double fetch_s = started.job->fetch_s;
  const bool fetches = fetch_s > 0 && images_.count(start.task.job) == 0;
  started.ready =
      now() + from_seconds(fetches ? fetch_s * net.uniform(0.5, 1.5) : net.uniform(0.2, 2.0));
  tasks_[start.task] = started;
}

void sim_machine::stop_task(const command& stop) {
  const auto entry = tasks_.find(stop.task);
  if (entry == tasks_.end() || entry->second.attempt != stop.attempt) return;
  auto& stopped = entry->second;
  if (stopped.phase == task_phase::ended) return;
  const auto& job = *stopped.job;
  if (stopped.phase == task_phase::running && job.checkpoint_s > 0 && stop.grace_s >= job.save_s) {
    stopped.phase = task_phase::saving;
    stopped.ready = now() + from_seconds(job.save_s);
    fleet_.saved_progress_s(stop.task) += to_seconds(now() - stopped.started);
  } else if (stopped.phase != task_phase::saving || stop.grace_s == 0) {
    end_task(stop.task, stopped, exit_cause::stopped);
  }
}

void sim_machine::acknowledge_exit(const command& acknowledgement) {
  const auto entry = tasks_.find(acknowledgement.task);
  if (entry == tasks_.end() || entry->second.attempt != acknowledgement.attempt) return;
  if (entry->second.phase == task_phase::ended) tasks_.erase(entry);
}

void sim_machine::end_task(const task_key& key, task& ended, exit_cause cause) {
  ended.phase = task_phase::ended;
  ended.cause = cause;
  if (cause == exit_cause::done) fleet_.task_done(key, token_);
}

void sim_machine::expire_lease() {
  if (!tasks_.empty()) ++context().event_counts["expired_leases"];
  tasks_.clear();
  ++incarnation_;
  sequence_ = 0;
  lease_from_ = now();
}

void sim_machine::step() {
  context().net.after(step_interval, guard_.wrap([this] {
    if (!is_gone()) step();
  }));
  if (now() - lease_from_ > from_seconds(context().parameters.lease_s)) expire_lease();
  if (is_hanging()) return;
  for (const auto& commands : std::exchange(held_commands_, {})) {
    context().event_counts["held_commands_executed"] += accept_commands(commands);
  }
  for (auto& [key, present] : tasks_) advance(key, present);
  fleet_.machine_stepped();
}

void sim_machine::advance(const task_key& key, task& advanced) {
  switch (advanced.phase) {
    case task_phase::fetching:
      return finish_fetching(key, advanced);
    case task_phase::waiting_for_gang:
      return wait_for_gang(key, advanced);
    case task_phase::running:
      return continue_running(key, advanced);
    case task_phase::saving:
      if (now() >= advanced.ready) end_task(key, advanced, exit_cause::stopped);
      return;
    case task_phase::ended:
      return;
  }
}

void sim_machine::finish_fetching(const task_key& key, task& fetched) {
  if (now() < fetched.ready) return;
  if (faulty_ || fetched.job->fails) return end_task(key, fetched, exit_cause::failed);
  if (fleet_.is_task_done(key)) return end_task(key, fetched, exit_cause::done);
  images_.insert(key.job);
  fetched.phase = fetched.job->gang ? task_phase::waiting_for_gang : task_phase::running;
  fetched.started = now();
  fleet_.task_started(*this, key);
}

/// A gang starts running once the processes of all members of this attempt exist.
void sim_machine::wait_for_gang(const task_key& key, task& member) {
  const std::size_t present = fleet_.count_members(key.job, member.attempt, [](const task& other) {
    return other.phase == task_phase::waiting_for_gang || other.phase == task_phase::running;
  });
  const duration waited = now() - member.started;
  if (present == member.job->tasks) {
    member.phase = task_phase::running;
    member.started = now();
  } else if (waited > from_seconds(context().parameters.gang_wait_s)) {
    end_task(key, member, exit_cause::gang_incomplete);
  }
}

void sim_machine::continue_running(const task_key& key, task& running) {
  const auto& job = *running.job;
  const duration ran = now() - running.started;
  if (job.gang) {
    const std::size_t present =
        fleet_.count_members(key.job, running.attempt, [](const task& other) {
          return other.phase != task_phase::ended || other.cause == exit_cause::done;
        });
    if (present < job.tasks && ran > from_seconds(context().parameters.gang_peer_s))
      return end_task(key, running, exit_cause::gang_peers_lost);
  }
  if (to_seconds(ran) + fleet_.saved_progress_s(key) >= job.run_s + job.stagger_s * key.index)
    end_task(key, running, exit_cause::done);
}

}  // namespace gingerdrift::testing
