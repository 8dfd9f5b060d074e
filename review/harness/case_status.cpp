// Case: wrong data. While the leader is down, the other controllers answer queries from the store.
// They must not call a large job pending whose tasks have all been running for long.
#include "harness.hpp"

using namespace review;

namespace {
constexpr int task_count = 400;
constexpr double allowed_lag_s = 3;
const char* const large_job = "run-000060";
}  // namespace

int main() {
  site_options options;
  site here(options);
  for (int i = 0; i < 8; ++i) here.add_machine(i % 2 == 0 ? "a" : "b", false, 0);
  here.start_controllers();
  if (!here.run_until([&] { return here.leader().has_value(); }, 20)) return could_not_run;
  here.run_for(2);

  int running = 0;
  std::optional<double> some_run_since_s;
  here.on_start = [&](const machine&, const machine::task&) {
    ++running;
    if (!some_run_since_s) some_run_since_s = here.now();
  };
  here.on_end = [&](const machine&, const machine::task&) { --running; };

  std::vector<std::string> wrong;
  int answers = 0;
  const auto ask = [&](std::size_t node) {
    here.poll(large_job, node, [&](const site::answer& received) {
      if (received.status != 200) return;
      ++answers;
      // The first task has been running since before the question, for longer than the state may lag.
      const bool runs_for_long = running > 0 && some_run_since_s &&
                                 received.asked_s - *some_run_since_s > allowed_lag_s;
      if (runs_for_long && received.state == "pending") wrong.push_back(received.state);
    });
  };
  job large;
  large.id = large_job;
  large.tasks = task_count;
  large.cpus = 0.25;
  large.gpus = 0;
  large.memory_gb = 1;
  large.run_s = 60;
  here.submit_until_accepted(large);
  if (!here.run_until([&] { return running == task_count; }, 40)) return could_not_run;
  here.run_for(8);
  const auto leader = here.leader();
  if (!leader) return could_not_run;
  const double began_s = here.now();
  if (trouble()) {
    here.kill_controller(*leader);
    here.after(6, [&] { here.start_controller(*leader); });
  }
  while (here.now() < began_s + 15) {
    for (std::size_t node = 0; node < 3; ++node) ask(node);
    here.run_for(0.5);
  }
  here.run_for(2);
  if (answers == 0) return could_not_run;
  std::printf("%zu of %d answers said pending\n", wrong.size(), answers);
  here.note(format("%zu of %d answers said pending, while %d tasks ran", wrong.size(), answers,
                   running));
  here.finish(wrong.empty() ? rule_held : rule_broken);
}
