#include "support/admission_trace.hpp"

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include "admission/scheduler.hpp"
#include "support/trace_line.hpp"

namespace gingerdrift::testing {

namespace {

using namespace admission;

resources parse_resources(const std::string& text) {
  const auto parts = split(text);
  return {std::stod(parts.at(0)), std::stod(parts.at(1)), std::stod(parts.at(2))};
}

priority parse_priority(const std::string& name) {
  if (name == "low") return priority::low;
  if (name == "high") return priority::high;
  if (name == "production") return priority::production;
  return priority::standard;
}

std::uint32_t parse_task(const std::string& text) {
  return static_cast<std::uint32_t>(std::stoul(text));
}

duration seconds_of(const trace_line& line, const std::string& name, double fallback) {
  return from_seconds(line.number(name, fallback));
}

/// Replays one trace: holds its fleet and jobs, applies the lines to them and runs the cycles.
class trace_player {
 public:
  std::string play(const std::string& text) {
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      if (line.rfind("> ", 0) == 0) continue;  // expected decision; the output has the actual ones
      output_ += line + "\n";
      if (line.empty() || line[0] == '#') continue;
      apply(trace_line(line));
    }
    return output_;
  }

 private:
  using line_handler = void (trace_player::*)(const trace_line&);

  void apply(const trace_line& line) {
    static const std::map<std::string, line_handler> handlers{
        {"policy", &trace_player::set_policy},   {"team", &trace_player::add_team},
        {"type", &trace_player::add_type},       {"machine", &trace_player::add_machine},
        {"job", &trace_player::add_job},         {"runs", &trace_player::add_running_task},
        {"lost", &trace_player::remove_tasks},   {"ends", &trace_player::end_job},
        {"refused", &trace_player::refuse_pool}, {"cycle", &trace_player::run_cycle},
    };
    const std::string& keyword = line.words.at(0);
    const auto handler = handlers.find(keyword);
    if (handler == handlers.end()) throw std::invalid_argument("unknown line: " + keyword);
    (this->*handler->second)(line);
  }

  void set_policy(const trace_line& line) {
    policy_.spot_first = line.text("first", "spot") == "spot";
    policy_.variant_creation_delay = seconds_of(line, "create", 5);
    policy_.lower_pool_scale_out_delay = seconds_of(line, "scale_out", 20);
    policy_.variant_deletion_delay = seconds_of(line, "delete", 60);
    policy_.upgrade_min_remaining = seconds_of(line, "min_left", 120);
    policy_.gang_reservation_delay = seconds_of(line, "reserve", 60);
    policy_.gang_reservation_share = line.number("reserve_share", 0.03);
  }

  void add_team(const trace_line& line) {
    snapshot_.teams.push_back({.name = line.words.at(1),
                               .cpus = line.number("cpus", 0),
                               .cpus_max = line.number("cpus_max", 0),
                               .gpus = line.number("gpus", 0),
                               .gpus_max = line.number("gpus_max", 0)});
  }

  void add_type(const trace_line& line) {
    machine_type type;
    type.name = line.words.at(1);
    type.size = parse_resources(line.text("size"));
    type.price = line.number("price", 10);
    type.spot_price = line.number("spot_price", 3);
    type.zones = ids_of<zone_name>(split(line.text("zones")));
    snapshot_.types.push_back(type);
  }

  void add_machine(const trace_line& line) {
    machine_view machine;
    machine.name = machine_name(line.words.at(1));
    machine.pool = pool_in(line, 2);
    machine.starting = line.has("starting");
    machine.ready = !machine.starting;
    for (const auto& image : split(line.text("images"))) machine.images.push_back(image);
    for (const auto& type : snapshot_.types) {
      if (type.name == machine.pool.type) machine.free = type.size;
    }
    machines_.push_back(machine);
  }

  void add_job(const trace_line& line) {
    job_view job;
    job.id = job_id(line.words.at(1));
    for (std::size_t i = 0; i < snapshot_.teams.size(); ++i) {
      if (snapshot_.teams[i].name == line.text("team")) job.team = i;
    }
    job.level = parse_priority(line.text("priority"));
    job.gang = line.has("gang");
    job.total_tasks = static_cast<std::uint32_t>(line.number("tasks", 1));
    job.need = parse_resources(line.text("need", "1,1,1"));
    job.one_zone = line.has("one_zone");
    job.spread = line.has("spread");
    job.spot = line.has("may_spot");
    job.zone = zone_name(line.text("zone"));
    job.image = line.text("image", "image");
    job.estimate = seconds_of(line, "estimate", 60);
    job.checkpoint = seconds_of(line, "checkpoint", 30);
    job.save = seconds_of(line, "save", 3);
    job.created_ms = ++jobs_created_;
    job.created = snapshot_.now - seconds_of(line, "age", 0);
    for (std::uint32_t task = 0; task < job.total_tasks; ++task) job.waiting.push_back(task);
    jobs_.push_back(job);
  }

  /// Handles `runs JOB TASK MACHINE ran=SECONDS`.
  void add_running_task(const trace_line& line) {
    place(find_job(job_id(line.words.at(1))), parse_task(line.words.at(2)),
          machine_name(line.words.at(3)), seconds_of(line, "ran", 0));
  }

  /// Handles `lost JOB TASK` and `lost JOB all`.
  void remove_tasks(const trace_line& line) {
    auto& job = find_job(job_id(line.words.at(1)));
    const std::string& which = line.words.at(2);
    for (auto task = job.placed.begin(); task != job.placed.end();) {
      if (which != "all" && task->task != parse_task(which)) {
        ++task;
        continue;
      }
      find_machine(task->machine).free += job.need;
      job.waiting.push_back(task->task);
      task = job.placed.erase(task);
    }
    std::sort(job.waiting.begin(), job.waiting.end());
  }

  void end_job(const trace_line& line) {
    std::erase_if(jobs_, [&](const job_view& job) { return job.id == job_id(line.words.at(1)); });
  }

  void refuse_pool(const trace_line& line) { snapshot_.refused_pools.insert(pool_in(line, 1)); }

  /// Handles `cycle SECONDS`.
  void run_cycle(const trace_line& line) {
    snapshot_.now += from_seconds(std::stod(line.words.at(1)));
    snapshot_.jobs.clear();
    snapshot_.machines.clear();
    for (const auto& job : jobs_) snapshot_.jobs.push_back(std::make_shared<const job_view>(job));
    for (const auto& machine : machines_)
      snapshot_.machines.push_back(std::make_shared<const machine_view>(machine));
    if (!scheduler_) scheduler_.emplace(policy_);
    const auto made = scheduler_->run_cycle(snapshot_);
    for (const auto& start : made.starts) apply_start(start);
    for (const auto& stop : made.stops) apply_stop(stop);
    for (const auto& [target, count] : made.scale_out) write_scale_out(target, count);
    if (made.starts.empty() && made.stops.empty() && made.scale_out.empty())
      output_ += "> nothing\n";
  }

  void apply_start(const start_decision& start) {
    output_ += "> start " + start.job.str() + "/" + std::to_string(start.task) + " on " +
               start.machine.str() + "\n";
    place(find_job(start.job), start.task, start.machine, duration::zero());
  }

  void apply_stop(const stop_decision& stop) {
    const bool is_upgrade = stop.reason == stop_reason::upgraded;
    output_ += std::string("> ") + (is_upgrade ? "upgrade " : "preempt ") + stop.job.str();
    for (const auto task : stop.tasks) output_ += "/" + std::to_string(task);
    output_ += is_upgrade ? "\n" : " for " + stop.for_job.str() + "\n";
    auto& job = find_job(stop.job);
    for (auto& task : job.placed) {
      if (std::find(stop.tasks.begin(), stop.tasks.end(), task.task) != stop.tasks.end())
        task.stopping = true;
    }
    if (job.gang) job.placement_suspended = false;
  }

  void write_scale_out(const pool& target, std::uint32_t count) {
    output_ += "> scale_out " + std::to_string(count) + " " + target.type + " in " +
               target.zone.str() + (target.spot ? " spot\n" : "\n");
  }

  void place(job_view& job, std::uint32_t task, const machine_name& name, duration ran) {
    auto& machine = find_machine(name);
    placed_task_view placed;
    placed.task = task;
    placed.machine = name;
    placed.pool = machine.pool;
    placed.running = true;
    placed.running_since = snapshot_.now - ran;
    machine.free -= job.need;
    std::erase(job.waiting, task);
    job.placed.push_back(placed);
  }

  /// Returns the pool of a line with the words `TYPE ZONE [spot]` from `first_word` on.
  static pool pool_in(const trace_line& line, std::size_t first_word) {
    return {line.words.at(first_word), zone_name(line.words.at(first_word + 1)), line.has("spot")};
  }

  job_view& find_job(const job_id& id) {
    for (auto& job : jobs_) {
      if (job.id == id) return job;
    }
    throw std::invalid_argument("no job " + id.str());
  }

  machine_view& find_machine(const machine_name& name) {
    for (auto& machine : machines_) {
      if (machine.name == name) return machine;
    }
    throw std::invalid_argument("no machine " + name.str());
  }

  policy policy_;
  snapshot snapshot_{.now = time_point(seconds(1000)),
                     .types = {},
                     .teams = {},
                     .machines = {},
                     .jobs = {},
                     .refused_pools = {}};
  std::vector<job_view> jobs_;
  std::vector<machine_view> machines_;
  std::optional<scheduler> scheduler_;
  std::string output_;
  std::int64_t jobs_created_ = 0;
};

}  // namespace

std::string play_trace(const std::string& text) { return trace_player().play(text); }

}  // namespace gingerdrift::testing
