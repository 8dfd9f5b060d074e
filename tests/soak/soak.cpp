// Runs real controller processes under random faults and checks the rules of the protocol from
// outside. Exit statuses: 0: no rule was violated; 1: a rule was violated, and the seed, the
// schedule of faults and the logs are named; 2: an option is invalid.
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "soak/fault_schedule.hpp"
#include "soak/loopback_site.hpp"

namespace {

using namespace gingerdrift;
using namespace gingerdrift::testing;

constexpr int exit_violation = 1;
constexpr int exit_usage = 2;
/// Time after the last fault within which all jobs must have ended. Longer than the 75 s without an
/// answer after which a job counts as forgotten.
constexpr auto recovery_time = seconds(100);
constexpr std::size_t jobs_per_second = 1;
constexpr double shortest_run_s = 3;
constexpr double longest_run_s = 15;

struct options {
  std::string controller;
  std::string directory;
  std::uint64_t seed = 1;
  std::size_t controllers = 3;
  unsigned fault_seconds = 30;
};

void submit_jobs(loopback_site& target, duration span) {
  const auto count = static_cast<std::size_t>(to_seconds(span)) * jobs_per_second;
  for (std::size_t i = 0; i < count; ++i) {
    const double run_s = target.net.uniform(shortest_run_s, longest_run_s);
    const auto tasks = static_cast<std::uint32_t>(1 + i % 5);
    sim_job job = i % 4 == 0 ? gang_job(job_name(100 + i), 1 + tasks % 2, run_s)
                             : array_job(job_name(100 + i), tasks, run_s);
    job.spread = !job.gang && i % 5 == 1;
    job.priority = i % 6 == 0 ? "high" : "standard";
    target.site.users.submit_after(from_seconds(target.net.uniform(0.5, to_seconds(span))), job);
    if (i % 9 == 4)
      target.site.users.cancel_after(from_seconds(target.net.uniform(5, to_seconds(span))), job.id);
  }
}

/// Schedules all faults and returns when the last of them ends.
duration schedule_faults(loopback_site& target, const std::vector<scheduled_fault>& schedule) {
  duration end{};
  for (const auto& fault : schedule) {
    target.net.after(fault.begins, [&target, fault] { inject(target, fault); });
    end = std::max(end, fault.begins + fault.lasts);
  }
  return end;
}

/// Waits until the users have received the end of every job, or a controller has ended by itself.
/// Returns the jobs without an end.
std::string wait_for_all_jobs(loopback_site& target) {
  for (duration waited{}; waited < recovery_time; waited += seconds(1)) {
    if (target.site.users.all_finished()) return {};
    if (target.any_controller_ended()) break;
    target.run_for(seconds(1));
  }
  std::string unfinished;
  for (const auto& [id, job] : target.site.jobs) {
    const auto& record = target.site.users.record(id);
    if (!record.is_finished()) unfinished += "not over: " + id + " " + record.state + "; ";
  }
  return unfinished;
}

void print_failure(const options& chosen, const std::vector<scheduled_fault>& schedule,
                   const std::string& problems) {
  std::cout << "soak FAILED: " << problems << "\n  replay: --seed " << chosen.seed
            << " --controllers " << chosen.controllers << " --fault-seconds "
            << chosen.fault_seconds << "\n  logs: " << chosen.directory << "\n";
  for (const auto& fault : schedule) std::cout << "  " << text_of(fault) << "\n";
}

int run(const options& chosen) {
  std::filesystem::create_directories(chosen.directory);
  loopback_site target(chosen.seed, chosen.controllers, chosen.controller, chosen.directory);
  const duration fault_span = seconds(chosen.fault_seconds);
  const auto schedule = make_fault_schedule(chosen.seed, chosen.controllers, fault_span);
  submit_jobs(target, fault_span);
  target.site.probes.query_all_controllers_for(fault_span + recovery_time);
  target.site.probes.send_unexpected_requests_for(fault_span);
  target.run_for(schedule_faults(target, schedule));
  target.site.progress_checks.expect_progress();
  std::string problems = wait_for_all_jobs(target);
  target.site.check_outcome();
  problems += target.site.violations.text();
  if (target.any_controller_ended()) problems += "a controller ended by itself; ";
  if (target.site.fleet.task_starts() == 0) problems += "nothing ran; ";
  if (!problems.empty()) {
    print_failure(chosen, schedule, problems);
    return exit_violation;
  }
  const json* token = target.state.peek("gd/token");
  std::cout << "soak passed: seed " << chosen.seed << ", " << schedule.size() << " faults, "
            << target.site.jobs.size() << " jobs, " << target.site.fleet.task_starts()
            << " starts, " << (token == nullptr ? json(0) : token->at("token")) << " terms\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  spdlog::set_level(spdlog::level::warn);
  options chosen;
  chosen.directory =
      (std::filesystem::temp_directory_path() / ("gingerdrift-soak-" + std::to_string(getpid())))
          .string();
  CLI::App app{"Random faults on real controller processes"};
  app.add_option("--controller", chosen.controller, "the controller's binary")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--seed", chosen.seed, "selects the jobs and the schedule of faults");
  app.add_option("--controllers", chosen.controllers, "number of controllers")
      ->check(CLI::Range(1, 9));
  app.add_option("--fault-seconds", chosen.fault_seconds, "time within which faults begin")
      ->check(CLI::Range(10, 3600));
  app.add_option("--logs", chosen.directory, "directory for settings and logs");
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    std::cerr << "gingerdrift_soak: " << error.what() << "\n";
    return exit_usage;
  }
  try {
    return run(chosen);
  } catch (const std::exception& error) {
    std::cerr << "gingerdrift_soak: " << error.what() << "\n";
    return exit_violation;
  }
}
