// A pipeline whose leader crashes just after its second job began; its last job is submitted when
// the second one is over.
#include <fmt/format.h>

#include "site.hpp"

namespace {

using namespace review;

constexpr double longest_wait_s = 90;    // of a job beside room, from the rule
constexpr double answered_within_s = 6;  // a worker counts as reachable with a younger answer
constexpr double downtime_s = 6;         // "back about 6 s after an end"
constexpr duration slow_answer = std::chrono::milliseconds(400);
constexpr double slow_for_s = 8;
constexpr double long_run_s = 300;
// Four jobs are first in the pipeline. Other jobs, with ids in between, are over before.
const std::vector<std::string> first_jobs = {"run-1000", "run-2000", "run-3000",
                                             "run-3500"};
const std::vector<std::string> other_jobs = {"run-1001", "run-1002", "run-1003", "run-2001",
                                             "run-2002", "run-2003", "run-3001", "run-3002"};
const std::string second_job = "run-4000";
const std::string last_job = "run-4001";
const std::string long_job = "run-4002";

json small_job(const std::string& id, const std::vector<std::string>& dependencies = {}) {
  json job = whole_machine_job(id, 1, 5);
  job["lane"] = "speaker-tag";
  job["shape"] = "sweep";
  job["vcpus"] = 2.0;
  job["accelerators"] = 0.0;
  job["memGb"] = 9.6;
  job["snapshotS"] = 0.0;
  job["stashS"] = 0.0;
  if (!dependencies.empty()) job["awaits"] = dependencies;
  return job;
}

class crash_within_a_pipeline {
 public:
  explicit crash_within_a_pipeline(site& target) : site_(target) {}

  void play() {
    site_.until([this] { return site_.leader().has_value(); }, [this] { submit_other_jobs(); });
  }

 private:
  bool is_done(const std::string& job) const {
    return site_.machines.results().count(job + "/0") != 0;
  }

  void submit_all(std::vector<std::pair<json, double>> jobs, std::function<void()> then) {
    if (jobs.empty()) return then();
    const auto [job, run_s] = jobs.front();
    jobs.erase(jobs.begin());
    site_.submit(job, run_s, [this, jobs, then] { submit_all(jobs, then); });
  }

  void submit_other_jobs() {
    std::vector<std::pair<json, double>> jobs = {{small_job(long_job), long_run_s}};
    for (const auto& id : other_jobs)
      jobs.emplace_back(small_job(id), 0.5);
    submit_all(jobs, [this] {
      site_.until([this] { return site_.machines.results().size() == other_jobs.size(); },
                  [this] { site_.after(0.5, [this] { submit_pipeline(); }); });
    });
  }

  void submit_pipeline() {
    std::vector<std::pair<json, double>> jobs;
    for (const auto& id : first_jobs) jobs.emplace_back(small_job(id), 2);
    jobs.emplace_back(small_job(second_job, first_jobs), 3);
    site_.machines.on_start = [this](const std::string& task) {
      if (site_.has_trouble() && task == second_job + "/0" && !crashed_) crash();
    };
    submit_all(jobs, [this] {
      site_.until([this] { return is_done(second_job) && is_over(second_job); },
                  [this] { submit_last_job(); });
    });
  }

  void crash() {
    crashed_ = site_.leader();
    if (!crashed_) return site_.finish(outcome::could_not_run, "no leader");
    site_.controllers[*crashed_]->kill();
    site_.log.write(fmt::format("disruption: the leader drifter-{} is killed; for {} s, lists of "
                                "the state service take a few hundred milliseconds",
                                *crashed_, slow_for_s));
    const double until = site_.log.seconds_now() + slow_for_s;
    site_.state.extra_delay = [this, until](const gingerdrift::net::request& message) {
      const bool slow = path_of(message.target) == "/store" && site_.log.seconds_now() < until;
      return slow ? slow_answer : duration::zero();
    };
    site_.after(downtime_s, [this] {
      site_.controllers[*crashed_]->start();
      site_.log.write(fmt::format("drifter-{} is started again", *crashed_));
    });
    site_.after(slow_for_s, [this] {
      trouble_over_ = true;
      site_.log.write("end of the disruption: the state service answers as usual");
    });
  }

  /// Whether the state service holds the end of the job, so that its user is told `done`.
  bool is_over(const std::string& job) const {
    return site_.state.peek("gd/final/" + job).is_object();
  }

  std::size_t running_controller() {
    for (std::size_t i = 0; i < site_.controllers.size(); ++i) {
      if (site_.controllers[i]->is_running()) return i;
    }
    return 0;
  }

  void submit_last_job() {
    site_.poll(running_controller(), second_job, [this](int status, const json& body) {
      if (status != 200 || body.value("status", "") != "done") {
        site_.after(0.05, [this] { submit_last_job(); });
        return;
      }
      site_.submit(small_job(last_job, {second_job}), 1, [this] {
        watch();
        poll();
      }, running_controller());
    });
  }

  /// Measures for how long the last job has waited although all that it needs is done and a machine
  /// that fits it has room.
  void watch() {
    const double now = site_.log.seconds_now();
    if (is_done(last_job)) return;  // the next poll tells the user
    const bool placed = site_.machines.count_tasks(last_job, "pulling") +
                            site_.machines.count_tasks(last_job, "running") >
                        0;
    const bool over = trouble_over_ || !site_.has_trouble();
    const bool room = over && !placed && site_.machines.count_machines([](const worker& machine) {
      return machine.is_up() && machine.tasks().size() < 10 &&
             machine.answered_within(from_seconds(answered_within_s));
    }) > 0;
    if (!room) room_since_ = -1;
    if (room && room_since_ < 0) {
      room_since_ = now;
      site_.log.write("the last job waits; all that it needs is done, and a machine has room");
    }
    if (room && now - room_since_ > longest_wait_s)
      return site_.finish(outcome::broken,
                          fmt::format("an accepted job has waited for {:.0f} s although the job "
                                      "that it needs is done and a machine has room",
                                      now - room_since_));
    site_.after(0.1, [this] { watch(); });
  }

  void poll() {
    site_.poll(polls_++ % site_.controllers.size(), last_job, [this](int status, const json& body) {
      if (status == 200 && body.value("status", "") == "done")
        return site_.finish(outcome::held, "the last job of the pipeline is done");
      site_.after(5, [this] { poll(); });
    });
  }

  site& site_;
  std::optional<std::size_t> crashed_;
  bool trouble_over_ = false;
  double room_since_ = -1;
  std::size_t polls_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  std::unique_ptr<crash_within_a_pipeline> played;
  return run_case(argc, argv, "", [&played](site& target) {
    played = std::make_unique<crash_within_a_pipeline>(target);
    played->play();
  });
}
