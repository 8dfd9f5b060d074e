// Case: wrong data. The leader ends while it removes the parts of the record of a large job that is
// done. Afterwards users must still hear that all tasks of the job are done.
#include "harness.hpp"

using namespace review;

namespace {
constexpr int task_count = 2000;
const char* const large_job = "run-000050";
}  // namespace

int main() {
  site_options options;
  site here(options);
  for (int i = 0; i < 12; ++i) here.add_machine(i % 2 == 0 ? "a" : "b", false, 0);
  here.start_controllers();
  if (!here.run_until([&] { return here.leader().has_value(); }, 20)) return could_not_run;
  here.run_for(2);

  bool killed = false;
  std::size_t killed_node = 0;
  here.store.on_change = [&](const std::string& key, const json* value) {
    const bool part_removed = value == nullptr && key.rfind("gd/part/", 0) == 0;
    if (part_removed) here.note("store: removed " + key);
    if (!part_removed || killed || !here.leader()) return;
    killed = true;
    killed_node = *here.leader();
    if (trouble()) here.kill_controller(killed_node);
  };

  // The first user asks all along; each answer that says `done` is kept.
  std::vector<std::string> wrong;
  bool told_done = false;
  const auto ask = [&](std::size_t node) {
    here.runtime.call(here.front(node), {"GET", std::string("/work/") + large_job, ""},
                      std::chrono::seconds(2), [&, node](const net::response& reply) {
                        const json body = json::parse(reply.body, nullptr, false);
                        here.note(format("user GET /work/%s at node-%zu: %d %s", large_job, node,
                                         reply.status, reply.body.c_str()));
                        if (reply.status != 200 || body.value("status", "") != "done") return;
                        told_done = true;
                        if (body.value("done", 0) != task_count) wrong.push_back(reply.body);
                      });
  };
  job large;
  large.id = large_job;
  large.tasks = task_count;
  large.cpus = 0.25;
  large.gpus = 0;
  large.memory_gb = 1;
  large.run_s = 2;
  here.submit_until_accepted(large);
  if (!here.run_until([&] { return killed; }, 70)) return could_not_run;
  const double removal_began_s = here.now();
  bool restarted = false;
  while (here.now() < removal_began_s + 25) {
    if (trouble() && !restarted && here.now() > removal_began_s + 3) {
      restarted = true;
      here.start_controller(killed_node);
    }
    for (std::size_t node = 0; node < 3; ++node) ask(node);
    here.run_for(1);
  }
  if (!told_done) {
    here.note("nobody was told that the job is done");
    return could_not_run;
  }
  for (const auto& answer : wrong) here.note("wrong: " + answer);
  std::printf("%zu wrong answers%s%s\n", wrong.size(), wrong.empty() ? "" : ", the last: ",
              wrong.empty() ? "" : wrong.back().c_str());
  here.finish(wrong.empty() ? rule_held : rule_broken);
}
