#include "site.hpp"

#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>

namespace review {

namespace net = gingerdrift::net;

namespace {
constexpr double longest_case_s = 117;
constexpr double check_interval_s = 0.05;
constexpr duration submission_deadline = std::chrono::seconds(5);
constexpr duration poll_deadline = std::chrono::seconds(2);
constexpr double retry_delay_s = 1;
const std::string jobs_path = "/work";
const std::vector<std::string> zones = {"bayanzurkh", "khan-uul", "darkhan"};

net::client_limits client_limits() {
  net::client_limits limits;
  limits.connections_total = 1000;
  limits.connections_per_address = 200;
  return limits;
}

std::string host_name(std::size_t controller) { return "drifter-" + std::to_string(controller); }

std::filesystem::path make_directory() {
  std::string pattern = (std::filesystem::temp_directory_path() / "gingerdrift-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  return pattern;
}

std::vector<std::string> free_addresses(std::size_t count) {
  std::vector<std::string> addresses(count);
  for (auto& address : addresses) address = free_address();
  return addresses;
}
}  // namespace

fleet::options site::fleet_options(const std::vector<std::string>& fronts) {
  fleet::options result;
  result.zones = zones;
  for (std::size_t i = 0; i < fronts.size(); ++i)
    result.controllers.emplace_back(host_name(i), fronts[i]);
  return result;
}

site::site(options chosen)
    : runtime(client_limits()),
      log(runtime, chosen.record_file),
      state(runtime, free_address(), {}),
      machines(runtime, log, fleet_options(free_addresses(chosen.controllers))),
      options_(std::move(chosen)),
      directory_(make_directory()),
      peers_(free_addresses(options_.controllers)) {
  log.write(options_.trouble ? "with the disruption" : "without the disruption");
  if (!options_.operator_settings.empty())
    std::ofstream(directory_ / "operators.xml") << options_.operator_settings;
  for (std::size_t i = 0; i < options_.controllers; ++i) {
    const std::string base = (directory_ / host_name(i)).string();
    std::ofstream(base + ".toml") << settings_of(i);
    auto command = options_.command;
    command.push_back(base + ".toml");
    if (!options_.operator_settings.empty()) {
      command.emplace_back("--settings");
      command.push_back((directory_ / "operators.xml").string());
    }
    controllers.push_back(std::make_unique<controller_process>(command, base + ".log"));
    controllers.back()->start();
    log.write("controller " + host_name(i) + " started");
  }
}

site::~site() {
  for (auto& controller : controllers) controller->kill();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string site::settings_of(std::size_t controller) const {
  const auto& fronts = machines.settings().controllers;
  std::string text = fmt::format(
      "host_name = \"{}\"\nlocation = \"{}\"\nfront = \"{}\"\nmesh_addr = \"{}\"\n",
      host_name(controller), zones[controller % zones.size()], fronts[controller].second,
      peers_[controller]);
  for (std::size_t peer = 0; peer < peers_.size(); ++peer) {
    if (peer == controller) continue;
    text += fmt::format("\n[[known]]\nhost_name = \"{}\"\nlocation = \"{}\"\naddress = \"{}\"\n",
                        host_name(peer), zones[peer % zones.size()], peers_[peer]);
  }
  text += fmt::format("\n[services]\ncloud = \"{}\"\nstate = \"{}\"\n", machines.cloud_address(),
                      state.address());
  text += R"(
[params]
count = 3
zones = ["bayanzurkh", "darkhan", "khan-uul"]
clock_off_ms = 100.0

[[params.teams]]
name = "speech-core"
cpus = 0.0
cpus_max = 0.0
gpus = 32.0
gpus_max = 72.0

[[params.teams]]
name = "support-ops"
cpus = 0.0
cpus_max = 0.0
gpus = 72.0
gpus_max = 224.0

[params.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 50.0
gang_peer_s = 4.0
cancel_s = 44.0

[params.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 32

[params.cloud]
rps = 4.0
list_lag_s = 5.0

[params.machine_limits]
cpu_share = 0.2
memory_mb = 136.0
max_connections = 2000
)";
  return text;
}

outcome site::run() {
  after(longest_case_s, [this] { finish(outcome::could_not_run, reason_); });
  runtime.run();
  for (auto& controller : controllers) controller->kill();
  const char* const names[] = {"HELD", "BROKEN", "COULD NOT RUN"};
  const std::string line = fmt::format("{}: {}", names[static_cast<int>(result_)], reason_);
  log.write(line);
  std::cout << line << "\n";
  return result_;
}

void site::finish(outcome result, const std::string& reason) {
  result_ = result;
  reason_ = reason;
  runtime.stop();
}

void site::after(double delay_s, std::function<void()> action) {
  runtime.after(from_seconds(delay_s), std::move(action));
}

void site::until(std::function<bool()> check, std::function<void()> then) {
  if (check()) return then();
  after(check_interval_s, [this, check = std::move(check), then = std::move(then)]() mutable {
    until(std::move(check), std::move(then));
  });
}

void site::request(std::size_t controller, const std::string& method, const std::string& target,
                   const json& body, duration deadline, answer_fn answer) {
  const std::string text = body.is_null() ? "" : body.dump();
  const std::string what = fmt::format("{} {} at {}", method, target, host_name(controller));
  log.write("sent " + what + " " + text);
  runtime.call(machines.settings().controllers.at(controller).second, {method, target, text},
               deadline, [this, what, answer](const net::response& response) {
                 log.write(fmt::format("answer to {}: {} {}", what, response.status,
                                       response.body));
                 const json decoded = json::parse(response.body, nullptr, false);
                 answer(response.status, decoded.is_object() ? decoded : json::object());
               });
}

void site::submit(const json& job, double run_s, std::function<void()> accepted,
                  std::size_t first) {
  machines.add_job(job, run_s);
  submit_at(first, job, std::move(accepted));
}

void site::submit_at(std::size_t controller, const json& job, std::function<void()> accepted) {
  request(controller, "POST", jobs_path, job, submission_deadline,
          [this, controller, job, accepted](int status, const json&) {
            if (status == 200 || status == 201) return accepted();
            if (status == 400 || status == 422)
              return finish(outcome::could_not_run, "a submission was refused");
            after(retry_delay_s, [this, controller, job, accepted] {
              submit_at((controller + 1) % controllers.size(), job, accepted);
            });
          });
}

void site::poll(std::size_t controller, const std::string& job, answer_fn answer) {
  request(controller, "GET", jobs_path + "/" + job, nullptr, poll_deadline, std::move(answer));
}

std::optional<std::size_t> site::leader() const {
  const json value = state.peek("gd/leader");
  if (!value.is_object()) return std::nullopt;
  const auto host = value.at("node").get<std::string>();
  return std::stoul(host.substr(host.rfind('-') + 1));
}

json whole_machine_job(const std::string& id, std::uint32_t tasks, double estimate_s) {
  return {{"nameId", id},           {"lane", "joint-decode"}, {"crew", "speech-core"},
          {"shape", "ensemble"},    {"urgency", "standard"},  {"pieces", tasks},
          {"vcpus", 57.0},          {"accelerators", 8.0},    {"memGb", 310.0},
          {"bundle", "img-1"},      {"imageGb", 0.3},         {"flavors", nullptr},
          {"yard", nullptr},        {"together", false},      {"scatter", false},
          {"loaners", false},       {"guessS", estimate_s},   {"snapshotS", 30.0},
          {"stashS", 3.0},          {"dueS", nullptr}};
}

int run_case(int argc, char** argv, const std::string& operator_settings,
             const std::function<void(site&)>& play) {
  if (argc < 3) {
    std::cerr << "usage: " << argv[0] << " RECORD_FILE PROGRAM [ARGUMENT...]\n";
    return static_cast<int>(outcome::could_not_run);
  }
  std::signal(SIGPIPE, SIG_IGN);
  spdlog::set_level(spdlog::level::warn);
  const char* const trouble = std::getenv("TROUBLE");
  site::options chosen;
  chosen.command.assign(argv + 2, argv + argc);
  chosen.record_file = argv[1];
  chosen.trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  chosen.operator_settings = operator_settings;
  try {
    site deployment(chosen);
    play(deployment);
    return static_cast<int>(deployment.run());
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return static_cast<int>(outcome::could_not_run);
  }
}

}  // namespace review
