// Case: a line above 64 KiB. Several times as many jobs with small tasks come as usual. The answers
// to the workers must stay within the protocol's limit.
#include "harness.hpp"

#include <algorithm>
#include <sstream>

using namespace review;

namespace {
constexpr std::size_t max_line_bytes = std::size_t{64} << 10;
constexpr int tasks_per_job = 450;
constexpr int usual_jobs = 1;
constexpr int jobs_in_surge = 4;
}  // namespace

int main() {
  site_options options;
  site here(options);
  for (int i = 0; i < 4; ++i) here.add_machine(i % 2 == 0 ? "a" : "b", false, 0);
  here.fetch_s = 2;
  std::size_t longest = 0;
  std::size_t most_commands = 0;
  here.on_answer = [&](const machine& host, const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("orders") || parsed["orders"].empty()) return;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
      longest = std::max(longest, line.size());
      if (line.size() > max_line_bytes / 4)
        here.note(format("answer to %s: %zu commands, a line of %zu bytes", host.name().c_str(),
                         parsed["orders"].size(), line.size()));
    }
    most_commands = std::max(most_commands, parsed["orders"].size());
  };
  here.start_controllers();
  if (!here.run_until([&] { return here.leader().has_value(); }, 20)) return could_not_run;
  here.run_for(3);
  const int jobs = trouble() ? jobs_in_surge : usual_jobs;
  for (int i = 0; i < jobs; ++i) {
    job small;
    small.id = "run-00007" + std::to_string(i);
    small.tasks = tasks_per_job;
    small.cpus = 0.05;
    small.gpus = 0;
    small.memory_gb = 0.1;
    small.run_s = 6;
    here.submit_until_accepted(small, static_cast<std::size_t>(i) % 3);
  }
  here.run_for(40);
  std::size_t told_done = 0;
  for (int i = 0; i < jobs; ++i) {
    here.poll("run-00007" + std::to_string(i), static_cast<std::size_t>(i) % 3,
              [&](const site::answer& received) { told_done += received.state == "done"; });
  }
  here.run_for(3);
  if (most_commands == 0) return could_not_run;
  const std::string result =
      format("longest line of an answer: %zu bytes, %zu commands; %zu of %d users told done", longest,
             most_commands, told_done, jobs);
  std::printf("%s\n", result.c_str());
  here.note(result);
  here.finish(longest > max_line_bytes ? rule_broken : rule_held);
}
