// Case: gangs that never start. Two gangs come at the same time; the machines have room for either of
// them, but not for both. One has to run.
#include "harness.hpp"

#include <algorithm>

using namespace review;

namespace {
constexpr int tasks_per_gang = 560;
constexpr double allowed_wait_s = 90;
constexpr double cpus_per_machine = 96;
}  // namespace

int main() {
  site_options options;
  options.capacity = 3;  // the cloud has three machines in each of two zones, and no spot machines
  site here(options);
  for (int i = 0; i < 6; ++i) here.add_machine(i % 2 == 0 ? "a" : "b", false, 0);
  std::map<std::string, int> placed;
  std::set<std::string> ran;
  here.on_start = [&](const machine&, const machine::task& task) { ++placed[task.job]; };
  here.on_end = [&](const machine&, const machine::task& task) {
    if (task.cause == "done") ran.insert(task.job);
  };
  here.start_controllers();
  if (!here.run_until([&] { return here.leader().has_value(); }, 20)) return could_not_run;
  here.run_for(3);
  const int gangs = trouble() ? 2 : 1;
  for (int i = 0; i < gangs; ++i) {
    job gang;
    gang.id = "run-00008" + std::to_string(i);
    gang.gang = true;
    gang.tasks = tasks_per_gang;
    gang.cpus = 1;
    gang.gpus = 0;
    gang.memory_gb = 1;
    gang.run_s = 10;
    here.submit_until_accepted(gang, 0);
  }
  if (!here.run_until([&] { return here.accepted.size() == static_cast<std::size_t>(gangs); }, 10))
    return could_not_run;
  // Room: CPUs that no task holds, whether it runs or waits for the other tasks of its gang.
  const auto most_free_cpus = [&] {
    double most = 0;
    for (const auto& host : here.machines) {
      if (!host->up()) continue;
      double free = cpus_per_machine;
      for (const auto& task : host->tasks()) {
        if (task.status != "ended") free -= here.jobs.at(task.job).cpus;
      }
      most = std::max(most, free);
    }
    return most;
  };
  const auto any_runs = [&] {
    for (const auto& host : here.machines) {
      for (const auto& task : host->tasks()) {
        if (task.status == "running") return true;
      }
    }
    return false;
  };
  const double accepted_s = here.now();
  double waiting_since_s = accepted_s;
  double longest_s = 0;
  for (int round = 0; here.now() < accepted_s + allowed_wait_s + 4; ++round) {
    here.run_for(0.5);
    if (any_runs() || !ran.empty()) break;
    if (most_free_cpus() < 1) waiting_since_s = here.now();
    longest_s = std::max(longest_s, here.now() - waiting_since_s);
    if (round % 10 != 0) continue;
    std::map<std::string, int> present;
    for (const auto& host : here.machines) {
      for (const auto& task : host->tasks()) present[task.job + " " + task.status]++;
    }
    std::string text;
    for (const auto& [what, count] : present) text += " " + what + ": " + std::to_string(count) + ";";
    here.note(format("most free CPUs of a machine: %.0f; tasks on the machines:%s", most_free_cpus(),
                     text.c_str()));
    here.poll("run-000080", 0);
  }
  std::printf("accepted gangs waited %.0f s beside room, the limit is %.0f s; %s\n", longest_s,
              allowed_wait_s, any_runs() || !ran.empty() ? "then one ran" : "none ran");
  here.finish(longest_s > allowed_wait_s ? rule_broken : rule_held);
}
