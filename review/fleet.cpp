#include "fleet.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace review {

namespace net = gingerdrift::net;

namespace {
constexpr duration step_interval = std::chrono::milliseconds(50);
constexpr std::size_t max_per_rental = 50;
constexpr const char* machine_type = "khuree-64g";
}  // namespace

std::string job_name(const std::string& task) { return task.substr(0, task.rfind('/')); }

fleet::fleet(net::uv_runtime& runtime, record& log, options chosen)
    : capacity([](const machine_kind&) { return max_per_rental; }),
      runtime_(runtime),
      log_(log),
      options_(std::move(chosen)),
      cloud_address_(free_address()),
      requests_(options_.requests_per_s * 2),  // bursts of two seconds' worth are allowed
      server_(serve(runtime, cloud_address_,
                    [this](const net::request& message, const net::reply_fn& reply) {
                      handle(message, reply);
                    })) {
  requests_.set_rate(runtime.now(), options_.requests_per_s);
  step();
}

void fleet::step() {
  runtime_.after(step_interval, [this] { step(); });
  for (const auto& [name, machine] : machines_) machine->step();
  listings_.emplace_back(runtime_.now(), listing());
  const time_point oldest = runtime_.now() - from_seconds(options_.list_lag_s * 2);
  while (listings_.size() > 1 && listings_[1].first < oldest) listings_.erase(listings_.begin());
}

double fleet::random(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void fleet::add_job(const json& body, double run_s) {
  jobs_[body.at("nameId").get<std::string>()] = {body, run_s};
}

const submitted_job* fleet::job_of(const std::string& task) const {
  const auto found = jobs_.find(job_name(task));
  return found == jobs_.end() ? nullptr : &found->second;
}

std::size_t fleet::count_tasks(const std::string& job, const std::string& status) const {
  std::size_t count = 0;
  for (const auto& [name, machine] : machines_) {
    if (!machine->is_up()) continue;
    for (const auto& [task, reported] : machine->tasks())
      count += job_name(task) == job && reported.status == status;
  }
  return count;
}

std::size_t fleet::count_members(const std::string& job, std::uint64_t attempt,
                                 const std::set<std::string>& statuses) const {
  std::size_t count = 0;
  for (const auto& [name, machine] : machines_) {
    for (const auto& [task, reported] : machine->tasks())
      count += job_name(task) == job && reported.attempt == attempt &&
               statuses.count(reported.status) != 0;
  }
  return count;
}

std::size_t fleet::count_machines(const std::function<bool(const worker&)>& condition) const {
  return static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(),
                    [&](const auto& entry) { return condition(*entry.second); }));
}

void fleet::handle(const net::request& message, const net::reply_fn& reply) {
  if (!requests_.try_take(runtime_.now()))
    return reply(json_response(429, {{"error", "too many requests"}}));
  const std::string path = path_of(message.target);
  if (message.method == "GET" && path == "/flavors") return reply(json_response(200, types()));
  if (message.method == "GET" && path == "/rentals") return list(message.target, reply);
  const json body = json::parse(message.body, nullptr, false);
  if (message.method == "POST" && body.is_object()) {
    if (path == "/rentals") return rent(body, reply);
    if (path == "/rentals/release") return release(body, reply);
  }
  reply(json_response(400, {{"error", "malformed"}}));
}

json fleet::types() const {
  const json type = {{"label", machine_type}, {"vcpus", 64.0},     {"accelerators", 8.0},
                     {"memGb", 384.0},        {"localGb", 80.0},   {"pullGbPerS", 0.6},
                     {"hourly", 22.75},       {"spotPrice", 5.64}, {"readyS", 35.0},
                     {"yards", options_.zones}};
  return {{"flavors", json::array({type})}};
}

void fleet::rent(const json& body, const net::reply_fn& reply) {
  const auto request = body.at("ask").get<std::string>();
  if (rentals_.count(request) != 0) return reply(json_response(200, rentals_[request]));
  const machine_kind kind{body.at("flavor"), body.at("yard"), body.at("loaners")};
  const std::size_t wanted = std::min(max_per_rental, body.at("howMany").get<std::size_t>());
  std::size_t existing = count_machines([&](const worker& machine) {
    return !machine.is_gone() && machine.kind().zone == kind.zone &&
           machine.kind().spot == kind.spot;
  });
  json names = json::array();
  for (; names.size() < wanted && existing < capacity(kind); ++existing) {
    const std::string name = fmt::format("n-{:06}", machines_.size() + 1);
    auto* const machine =
        machines_.emplace(name, std::make_unique<worker>(*this, name, kind)).first->second.get();
    runtime_.after(from_seconds(options_.boot_s), [machine] { machine->boot(); });
    names.push_back(name);
  }
  log_.write("rental " + body.dump() + " -> " + (names.empty() ? "503 no capacity" : names.dump()));
  if (names.empty()) return reply(json_response(503, {{"error", "no capacity"}}));
  rentals_[request] = {{"hosts", names}};
  reply(json_response(200, rentals_[request]));
}

void fleet::release(const json& body, const net::reply_fn& reply) {
  log_.write("release " + body.dump());
  for (const auto& name : body.at("hosts")) {
    const auto found = machines_.find(name.get<std::string>());
    if (found != machines_.end() && !found->second->is_gone()) found->second->vanish();
  }
  reply(json_response(200, json::object()));
}

json fleet::listing() const {
  json machines = json::array();
  for (const auto& [name, machine] : machines_) {
    if (machine->is_gone()) continue;
    machines.push_back({{"nameId", name},
                        {"addr", machine->address()},
                        {"flavor", machine->kind().type},
                        {"yard", machine->kind().zone},
                        {"loaners", machine->kind().spot},
                        {"status", machine->is_up() ? "running" : "starting"},
                        {"ageS", to_seconds(runtime_.now() - machine->created_at())}});
  }
  return machines;
}

/// Answers with the list as it was `list_lag_s` ago.
void fleet::list(const std::string& target, const net::reply_fn& reply) const {
  const time_point described = runtime_.now() - from_seconds(options_.list_lag_s);
  json machines = json::array();
  for (const auto& [taken, listed] : listings_) {
    if (taken <= described) machines = listed;
  }
  const std::string after = query_parameter(target, "from");
  const std::size_t most = std::stoul(query_parameter(target, "most", "500"));
  json page = json::array();
  bool truncated = false;
  for (const auto& machine : machines) {
    if (machine.at("nameId").get<std::string>() <= after) continue;
    if (page.size() == most) {
      truncated = true;
      break;
    }
    page.push_back(machine);
  }
  reply(json_response(200, {{"hosts", page}, {"truncated", truncated}}));
}

}  // namespace review
