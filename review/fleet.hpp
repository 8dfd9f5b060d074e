#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/token_bucket.hpp"
#include "worker.hpp"

namespace review {

/// A job as its user submitted it, and how long its tasks really run.
struct submitted_job {
  json body;
  double run_s = 0;
};

/// Stand-in for the cloud, which rents the machines, and for the workers on them.
class fleet {
 public:
  struct options {
    worker_settings workers;
    std::vector<std::string> zones;
    double boot_s = 1.5;
    double list_lag_s = 5;
    double requests_per_s = 4;
    /// Where workers find the controllers, by their host names.
    std::vector<std::pair<std::string, std::string>> controllers;
  };
  fleet(gingerdrift::net::uv_runtime& runtime, record& log, options chosen);

  const std::string& cloud_address() const { return cloud_address_; }
  /// Returns how many machines of a kind the cloud can rent out at most. Unlimited by default.
  std::function<std::size_t(const machine_kind&)> capacity;
  /// Called when a worker executes the command to run a task.
  std::function<void(const std::string& task)> on_start = [](const std::string&) {};
  /// Uploads the description of a job, so that workers can run its tasks.
  void add_job(const json& body, double run_s);
  const std::map<std::string, std::unique_ptr<worker>>& machines() const { return machines_; }
  /// Returns the number of tasks of a job with this status, on all machines.
  std::size_t count_tasks(const std::string& job, const std::string& status) const;
  /// Returns the names of the tasks of a job whose results exist.
  const std::set<std::string>& results() const { return results_; }
  std::size_t count_machines(const std::function<bool(const worker&)>& condition) const;

  // For the workers:

  gingerdrift::net::uv_runtime& runtime() { return runtime_; }
  record& log() { return log_; }
  const options& settings() const { return options_; }
  const submitted_job* job_of(const std::string& task) const;
  double random(double low, double high);
  /// Returns how many members of a gang's attempt exist in any of the statuses.
  std::size_t count_members(const std::string& job, std::uint64_t attempt,
                            const std::set<std::string>& statuses) const;
  double& saved_progress_s(const std::string& job) { return saved_progress_s_[job]; }
  void add_result(const std::string& task) { results_.insert(task); }

 private:
  void step();
  void handle(const gingerdrift::net::request& message, const gingerdrift::net::reply_fn& reply);
  json types() const;
  void rent(const json& body, const gingerdrift::net::reply_fn& reply);
  void release(const json& body, const gingerdrift::net::reply_fn& reply);
  void list(const std::string& target, const gingerdrift::net::reply_fn& reply) const;
  json listing() const;

  gingerdrift::net::uv_runtime& runtime_;
  record& log_;
  options options_;
  std::string cloud_address_;
  gingerdrift::token_bucket requests_;
  std::mt19937_64 random_{1};
  std::map<std::string, std::unique_ptr<worker>> machines_;
  std::map<std::string, submitted_job> jobs_;
  std::map<std::string, json> rentals_;  // answers by request name
  std::map<std::string, double> saved_progress_s_;
  std::set<std::string> results_;
  std::vector<std::pair<time_point, json>> listings_;
  std::unique_ptr<gingerdrift::net::http_server> server_;
};

/// Returns the job of a task: run-7 for run-7/3.
std::string job_name(const std::string& task);

}  // namespace review
