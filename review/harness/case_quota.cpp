// Case: quota. The leader ends just after it has started a job whose dependencies are done, and is
// back at once. Its successor must count the tasks of that job against the limit of the team.
#include "harness.hpp"

#include <cmath>

using namespace review;

namespace {

constexpr double limit_gpus = 16;
constexpr std::size_t machine_count = 24;

job make_job(const std::string& id, const std::string& priority, double run_s) {
  job made;
  made.id = id;
  made.priority = priority;
  made.run_s = run_s;
  return made;
}

}  // namespace

int main() {
  site_options options;
  options.teams = {{"red", 8, limit_gpus}};
  options.state_write_rps = 60;
  options.machine_zones = {"a", "b"};
  site here(options);
  for (std::size_t i = 0; i < machine_count; ++i) here.add_machine(i % 2 == 0 ? "a" : "b", false, 0);

  double highest = 0;
  here.on_start = [&](const machine&, const machine::task& task) {
    const double used = here.gpus_in_use("red");
    here.note(format("team red uses %.0f of %.0f GPUs after the start of %s/%d", used, limit_gpus,
                     task.job.c_str(), task.index));
    highest = std::max(highest, used);
  };
  bool successor_started = false;
  here.on_run = [&](const machine&, const machine::task& task) {
    if (task.job == "run-000020") successor_started = true;
  };
  // A spell in which each answer of the store takes a few hundred milliseconds.
  bool slow = false;
  here.store.hook = [&](std::size_t, const net::request&) {
    state_store::treatment chosen;
    if (slow) chosen.delay_after_s = here.uniform(0.3, 0.5);
    return chosen;
  };

  here.start_controllers();
  if (!here.run_until([&] { return here.leader().has_value(); }, 20)) return could_not_run;
  here.run_for(3);
  // A long job takes half of the limit, and a short one the other half.
  here.submit_until_accepted(make_job("run-000009", "high", 90));
  here.submit_until_accepted(make_job("run-000010", "high", 4));
  if (!here.run_until([&] { return here.gpus_in_use("red") == limit_gpus; }, 25))
    return could_not_run;
  job dependent = make_job("run-000020", "high", 60);
  dependent.awaits = {"run-000010"};
  here.submit_until_accepted(dependent, 1);
  if (!here.run_until([&] { return successor_started; }, 25)) return could_not_run;
  const auto leader = here.leader();
  if (!leader) return could_not_run;
  for (int i = 0; i < 4; ++i)
    here.submit(make_job("run-00003" + std::to_string(i), "standard", 60), (*leader + 1) % 3);
  here.run_for(0.1);
  const json* head = here.store.find("gd/job/run-000020");
  here.note("record of run-000020: " + (head == nullptr ? std::string("none") : head->dump()));
  slow = true;
  if (trouble()) {
    here.kill_controller(*leader);
    here.run_for(0.3);
    here.start_controller(*leader);
  }
  here.run_for(5);
  slow = false;
  here.run_for(12);
  here.note(format("most GPUs in use: %.0f, limit %.0f", highest, limit_gpus));
  std::printf("most GPUs in use: %.0f, limit %.0f\n", highest, limit_gpus);
  here.finish(highest > limit_gpus + 1e-6 ? rule_broken : rule_held);
}
