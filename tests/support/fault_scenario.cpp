#include "support/fault_scenario.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "support/fault_injector.hpp"
#include "support/leader_tracker.hpp"
#include "support/scenario_workload.hpp"
#include "support/sim_service.hpp"
#include "support/trace_line.hpp"

namespace gingerdrift::testing {

namespace {

/// Returns the lines of a trace, without comments and empty lines.
std::vector<trace_line> lines_of(const std::string& trace) {
  std::vector<trace_line> lines;
  std::istringstream in(trace);
  for (std::string text; std::getline(in, text);) {
    if (!text.empty() && text[0] != '#') lines.emplace_back(text);
  }
  return lines;
}

/// Returns the number of seconds in a line `VERB SECONDS …`.
double seconds_of(const trace_line& line) { return std::stod(line.words.at(1)); }
duration time_of(const trace_line& line) { return from_seconds(seconds_of(line)); }

site_parameters parameters_of(const std::vector<trace_line>& lines) {
  site_parameters parameters;
  for (const auto& line : lines) {
    if (line.words.at(0) == "announced") parameters.announced = limits_of(line);
    if (line.words.at(0) != "site") continue;
    parameters.heartbeat_s = line.number("heartbeat", parameters.heartbeat_s);
    parameters.lease_s = line.number("lease", parameters.lease_s);
    parameters.cancel_s = line.number("cancel", parameters.cancel_s);
    parameters.gang_wait_s = line.number("gang_wait", parameters.gang_wait_s);
    parameters.quota_factor = line.number("quota_factor", parameters.quota_factor);
    parameters.capacity = static_cast<std::size_t>(line.number("capacity", 6));
    parameters.final_cache =
        static_cast<std::uint32_t>(line.number("final_cache", parameters.final_cache));
  }
  return parameters;
}

/// Reports whether lines with this verb are not scheduled, because they are read before the start
/// or at the end.
bool is_read_elsewhere(const std::string& verb) {
  static const std::set<std::string> verbs = {"site", "announced", "former", "end", "expect"};
  return verbs.count(verb) != 0;
}

/// Runs one scenario.
class fault_scenario {
 public:
  fault_scenario(const std::string& trace, std::size_t controllers, std::uint64_t seed,
                 const former_version::release* former)
      : lines_(lines_of(trace)),
        service_(seed, controllers, parameters_of(lines_), former),
        leaders_(service_),
        faults_(service_, leaders_),
        workload_(service_) {}

  void observe(const std::function<void(const sent_message&)>& on_sent) {
    service_.net.on_sent = on_sent;
  }

  /// Runs the scenario and returns a description of all problems; empty if there are none.
  std::string play() {
    count_renewals();
    count_late_heartbeats();
    for (const auto& line : lines_) schedule(line);
    run();
    std::string problems = unfinished_jobs();
    service_.site.check_outcome();
    count_outcome();
    problems += service_.violations();
    for (const auto& line : lines_) problems += check_expectation(line);
    return problems;
  }

 private:
  std::size_t& event_count(const std::string& name) { return service_.site.event_counts[name]; }

  bool is_leader(const std::string& address) const {
    const auto leader = service_.leader();
    return leader && service_.site.controller_addresses[*leader] == address;
  }

  void count_renewals() {
    service_.site.fleet.on_lease_renewed = [this](const std::string& address) {
      if (!is_leader(address)) ++event_count("leases_renewed_by_others");
      if (!service_.leader()) ++event_count("leases_renewed_without_leader");
    };
  }

  void count_late_heartbeats() {
    service_.net.on_late_copy = [this](const std::string& address, const net::request& message) {
      ++event_count("late_heartbeats");
      if (!is_leader(address)) return;
      const json heartbeat = json::parse(message.body);
      const json* leadership = service_.state.peek("gd/token");
      if (leadership == nullptr || heartbeat.at("baton") >= leadership->at("token")) return;
      event_count("late_heartbeats_from_earlier_terms") += !heartbeat.at("pieces").empty();
    };
  }

  void schedule(const trace_line& line) {
    const auto& verb = line.words.at(0);
    if (verb == "mixed") return workload_.submit_mixed(line);
    if (verb == "pipelines") return workload_.submit_pipelines(line);
    if (verb == "job") return workload_.submit_job(line);
    if (verb == "at") {
      service_.net.after(time_of(line), [this, &line] { faults_.inject(line); });
    } else if (verb == "faults_over") {
      service_.net.after(time_of(line),
                         [this] { service_.site.progress_checks.expect_progress(); });
    } else if (!is_read_elsewhere(verb)) {
      throw std::invalid_argument("unknown line " + verb);
    }
  }

  void run() {
    double end_s = 400;
    for (const auto& line : lines_) {
      if (line.words.at(0) == "end") end_s = seconds_of(line);
    }
    while (service_.net.seconds_now() < end_s) {
      service_.net.run_for(seconds(1));
      spdlog::debug("--- {:.0f} s", service_.net.seconds_now());
      event_count("most_waiting_jobs") = std::max(event_count("most_waiting_jobs"), waiting_jobs());
    }
  }

  /// Returns the number of accepted jobs that have not started.
  std::size_t waiting_jobs() const {
    const auto& site = service_.site;
    return static_cast<std::size_t>(
        std::count_if(site.jobs.begin(), site.jobs.end(), [&](const auto& entry) {
          return !site.fleet.has_started(entry.first) && site.users.record(entry.first).has_state();
        }));
  }

  std::string unfinished_jobs() const {
    std::string unfinished;
    for (const auto& [id, job] : service_.site.jobs) {
      const auto& record = service_.site.users.record(id);
      if (!record.is_finished()) unfinished += "not over: " + id + " " + record.state + "; ";
    }
    return unfinished;
  }

  void count_outcome() {
    if (const json* leadership = service_.state.peek("gd/token"); leadership != nullptr)
      event_count("leader_terms") = leadership->at("token").get<std::size_t>();
    event_count("lost_answers") = service_.state.lost_answers();
    event_count("late_writes") = service_.state.late_writes();
    event_count("late_writes_refused") = service_.state.late_writes_refused();
    event_count("expired_arrivals") = service_.net.expired_arrivals();
    event_count("refused_for_size") = service_.state.refused_for_size();
    event_count("refused_for_rate") = service_.state.refused_for_rate();
  }

  /// Checks an event count against a line `expect EVENT least= most=` and returns a description of
  /// the problem, if any.
  std::string check_expectation(const trace_line& line) {
    if (line.words.at(0) != "expect") return {};
    const auto& name = line.words.at(1);
    const std::string count = std::to_string(event_count(name));
    const auto number = static_cast<double>(event_count(name));
    std::string problems;
    if (number < line.number("least", 1))
      problems += "did not happen: " + name + " " + count + "; ";
    if (number > line.number("most", 1e9))
      problems += "happened too often: " + name + " " + count + "; ";
    return problems;
  }

  std::vector<trace_line> lines_;
  sim_service service_;
  leader_tracker leaders_;
  fault_injector faults_;
  scenario_workload workload_;
};

}  // namespace

std::string play_fault_scenario(const std::string& trace, std::size_t controllers,
                                std::uint64_t seed, const former_version::release* former,
                                const std::function<void(const sent_message&)>& on_sent) {
  fault_scenario scenario(trace, controllers, seed, former);
  scenario.observe(on_sent);
  return scenario.play();
}

}  // namespace gingerdrift::testing
