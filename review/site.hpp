#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller_process.hpp"
#include "fleet.hpp"
#include "record.hpp"
#include "state_service.hpp"

namespace review {

/// The outcome of a case, which is also its exit status.
enum class outcome { held = 0, broken = 1, could_not_run = 2 };

/// A small deployment on loopback addresses: three controller processes, and stand-ins for the state
/// service, the cloud, the workers and the users.
class site {
 public:
  struct options {
    std::vector<std::string> command;  // from the deploy file: the program and its arguments
    std::string record_file;
    bool trouble = true;
    std::string operator_settings;  // content of the operators' file; empty: none is used
    std::size_t controllers = 3;
  };
  explicit site(options chosen);
  ~site();
  site(const site&) = delete;
  site& operator=(const site&) = delete;

  bool has_trouble() const { return options_.trouble; }
  /// Runs the loop until finish() is called, but no longer than the time that a case may take.
  outcome run();
  /// Ends run(). `reason` is written to the record and printed.
  void finish(outcome result, const std::string& reason);
  void after(double delay_s, std::function<void()> action);
  /// Calls `check` several times a second until it returns true.
  void until(std::function<bool()> check, std::function<void()> then);

  using answer_fn = std::function<void(int status, const json& body)>;
  /// Sends a user's request to a controller; `answer` gets status 0 if there is no response.
  void request(std::size_t controller, const std::string& method, const std::string& target,
               const json& body, duration deadline, answer_fn answer);
  /// Submits a job, as its user would, until it is accepted, at one controller after another.
  /// `run_s`: how long each task really runs. `first`: the controller that is tried first.
  void submit(const json& job, double run_s, std::function<void()> accepted,
              std::size_t first = 0);
  /// Asks for a job's state at one controller.
  void poll(std::size_t controller, const std::string& job, answer_fn answer);
  /// Returns the index of the leader according to the state service; nothing if there is none.
  std::optional<std::size_t> leader() const;

  gingerdrift::net::uv_runtime runtime;
  record log;
  state_service state;
  fleet machines;
  std::vector<std::unique_ptr<controller_process>> controllers;

 private:
  static fleet::options fleet_options(const std::vector<std::string>& fronts);
  std::string settings_of(std::size_t controller) const;
  void submit_at(std::size_t controller, const json& job, std::function<void()> accepted);

  options options_;
  std::filesystem::path directory_;
  std::vector<std::string> peers_;
  outcome result_ = outcome::could_not_run;
  std::string reason_ = "the time of the case ran out";
};

/// Returns the body of a submission of a job whose tasks take a whole machine each.
json whole_machine_job(const std::string& id, std::uint32_t tasks, double estimate_s);

/// Reads the arguments and runs a case. `play` schedules what happens.
int run_case(int argc, char** argv, const std::string& operator_settings,
             const std::function<void(site&)>& play);

}  // namespace review
