#include "support/scenario_workload.hpp"

namespace gingerdrift::testing {

namespace {

sim_job job_of(const trace_line& line) {
  const auto tasks = static_cast<std::uint32_t>(line.number("tasks", 1));
  sim_job job =
      basic_job(line.words.at(1), line.text("team", "red"), tasks, line.number("run", 20));
  job.gang = line.has("gang");
  job.gpus = line.number("gpus", job.gang ? 8 : 1);
  job.cpus = job.gpus;
  job.fetch_s = line.number("fetch", 0);
  job.stagger_s = line.number("stagger", 0);
  job.one_zone = line.has("one_zone");
  job.spread = line.has("spread");
  job.spot = line.has("spot");
  job.fails = line.has("fails");
  job.zone = line.text("zone");
  job.priority = line.text("priority", "standard");
  job.dependencies = split(line.text("dependencies"));
  return job;
}

std::string stage_name(std::size_t pipeline, std::size_t stage) {
  return job_name(5000 + 10 * pipeline + stage);
}

}  // namespace

void scenario_workload::submit_job(const trace_line& line) {
  service_.site.users.submit_after(from_seconds(line.number("at", 1)), job_of(line));
}

sim_job scenario_workload::mixed_job(std::size_t number, double longest_run_s) {
  sim_job job;
  job.id = job_name(100 + number);
  job.team = number % 2 == 0 ? "red" : "blue";
  job.gang = number % 3 == 0;
  job.tasks = 1 + static_cast<std::uint32_t>(job.gang ? number % 2 : 3 + number % 5);
  job.gpus = job.cpus = job.gang ? 8 : 1;
  job.run_s = service_.net.uniform(longest_run_s / 4, longest_run_s);
  job.one_zone = number % 6 == 0;
  job.spread = !job.gang && number % 4 == 1;
  job.spot = !job.gang && number % 2 == 0;
  job.zone = number % 7 == 3 && !job.spread ? "b" : "";
  job.priority = number % 5 == 0 ? "high" : "standard";
  return job;
}

void scenario_workload::submit_mixed(const trace_line& line) {
  const auto count = static_cast<std::size_t>(line.number("jobs", 24));
  for (std::size_t number = 0; number < count; ++number) {
    const sim_job job = mixed_job(number, line.number("run", 25));
    const double submit_s = service_.net.uniform(0, line.number("over", 60));
    service_.site.users.submit_after(from_seconds(submit_s), job);
  }
}

sim_job scenario_workload::pipeline_stage(const trace_line& line, std::size_t pipeline,
                                          std::size_t stage,
                                          const std::vector<std::size_t>& dependency_stages) {
  sim_job job;
  job.id = stage_name(pipeline, stage);
  job.team = pipeline % 3 == 0 ? "blue" : "red";
  job.gpus = 0;
  job.tasks = 1 + static_cast<std::uint32_t>((pipeline + stage) % 3);
  job.run_s = service_.net.uniform(2, line.number("run", 8));
  job.priority = "low";
  for (const auto dependency : dependency_stages)
    job.dependencies.push_back(stage_name(pipeline, dependency));
  return job;
}

/// Returns an array job, two array jobs that depend on it, a gang that depends on both, and an
/// array job that depends on the gang. In every fourth pipeline, the second job also depends on the
/// job that the field `depends_on` names, which may be of another kind and team.
std::vector<sim_job> scenario_workload::pipeline_jobs(const trace_line& line,
                                                      std::size_t pipeline) {
  std::vector<sim_job> jobs = {
      pipeline_stage(line, pipeline, 0, {}), pipeline_stage(line, pipeline, 1, {0}),
      pipeline_stage(line, pipeline, 2, {0}), pipeline_stage(line, pipeline, 3, {1, 2}),
      pipeline_stage(line, pipeline, 4, {3})};
  jobs[3].gang = true;
  jobs[3].one_zone = true;
  jobs[4].priority = "high";
  if (pipeline % 4 == 1) jobs[1].dependencies.push_back(line.text("depends_on", jobs[0].id));
  return jobs;
}

/// In every fourth pipeline, the last job is submitted later, when the others may already be
/// finished.
void scenario_workload::submit_pipelines(const trace_line& line) {
  const auto count = static_cast<std::size_t>(line.number("count", 8));
  const double from_s = line.number("from", 5);
  const double over_s = line.number("over", 40);
  for (std::size_t pipeline = 0; pipeline < count; ++pipeline) {
    const auto jobs = pipeline_jobs(line, pipeline);
    const double start_s =
        from_s + over_s * static_cast<double>(pipeline) / static_cast<double>(count);
    for (const auto& job : jobs) {
      const bool late = &job == &jobs.back() && pipeline % 4 == 2;
      service_.site.users.submit_after(from_seconds(start_s + (late ? line.number("late", 45) : 0)),
                                       job);
    }
  }
}

}  // namespace gingerdrift::testing
