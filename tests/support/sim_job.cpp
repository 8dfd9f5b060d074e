#include "support/sim_job.hpp"

#include <nlohmann/json.hpp>

namespace gingerdrift::testing {

std::string sim_job::body() const {
  using nlohmann::json;
  json body({{"nameId", id},
             {"lane", "any"},
             {"crew", team},
             {"shape", gang ? "ensemble" : "sweep"},
             {"urgency", priority},
             {"pieces", tasks},
             {"vcpus", cpus},
             {"accelerators", gpus},
             {"memGb", 1.0},
             {"bundle", "image"},
             {"imageGb", 1.0},
             {"flavors", nullptr},
             {"yard", zone.empty() ? json() : json(zone)},
             {"together", one_zone},
             {"scatter", spread},
             {"loaners", spot},
             {"guessS", run_s},
             {"snapshotS", checkpoint_s},
             {"stashS", save_s},
             {"dueS", nullptr}});
  if (!dependencies.empty()) body["awaits"] = dependencies;
  return body.dump();
}

sim_job basic_job(const std::string& id, const std::string& team, std::uint32_t tasks,
                  double run_s) {
  sim_job job;
  job.id = id;
  job.team = team;
  job.tasks = tasks;
  job.run_s = run_s;
  return job;
}

sim_job array_job(const std::string& id, std::uint32_t tasks, double run_s) {
  sim_job job = basic_job(id, "blue", tasks, run_s);
  job.spot = true;
  return job;
}

sim_job gang_job(const std::string& id, std::uint32_t tasks, double run_s) {
  sim_job job = basic_job(id, "red", tasks, run_s);
  job.gang = true;
  job.gpus = gpus_per_machine;
  job.cpus = 8;
  job.one_zone = true;
  return job;
}

}  // namespace gingerdrift::testing
