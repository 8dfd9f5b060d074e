#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/callback_guard.hpp"
#include "support/json.hpp"
#include "support/site_context.hpp"

namespace gingerdrift::testing {

class sim_fleet;

/// Identifies a task by its job and its index within the job. Ordered by job, then index.
struct task_key {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const task_key&) const = default;
};

/// The phase of a task on a machine.
enum class task_phase { fetching, waiting_for_gang, running, saving, ended };

/// The reason why a task ended; `none` until then.
enum class exit_cause { none, done, failed, stopped, gang_incomplete, gang_peers_lost };

/// A simulated machine with its worker. The worker sends heartbeats, executes the commands in the
/// answers to them and in direct requests, runs tasks, and kills all of them when its lease
/// expires.
class sim_machine {
 public:
  /// One attempt of a task on this machine.
  struct task {
    const sim_job* job = nullptr;
    std::uint64_t attempt = 0;
    task_phase phase = task_phase::fetching;
    exit_cause cause = exit_cause::none;
    time_point ready{};    // when the image is fetched or the state is saved
    time_point started{};  // when the process started, or when its gang became complete
    /// Reports whether the process of the task exists. Only tasks with a process count against the
    /// quota of their team.
    bool has_process() const {
      return phase == task_phase::running || phase == task_phase::waiting_for_gang ||
             phase == task_phase::saving;
    }
  };

  sim_machine(sim_fleet& fleet, std::string name, std::string zone, bool spot);
  sim_machine(const sim_machine&) = delete;
  sim_machine& operator=(const sim_machine&) = delete;

  /// Starts the worker, unless the machine is gone.
  void boot();
  /// Removes the machine with all its tasks, as after a release or a spot interruption.
  void vanish();
  /// Suspends the machine for a time span. Requests get no answer, and commands that arrive during
  /// the span are executed after it.
  void hang(duration span) { hangs_until_ = span + now(); }
  /// Makes every task fail that finishes fetching its image after this call.
  void make_faulty() { faulty_ = true; }
  /// Removes all tasks without reporting their end, for tests of the checks.
  void drop_tasks() { tasks_.clear(); }

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  bool spot() const { return spot_; }
  bool is_up() const { return state_ == state::up; }
  bool is_gone() const { return state_ == state::gone; }
  bool is_hanging() const { return now() < hangs_until_; }
  /// Reports whether tasks placed on this machine can run: it is up, does not hang and is not
  /// faulty.
  bool is_usable() const { return is_up() && !is_hanging() && !faulty_; }
  time_point created_at() const { return created_at_; }
  /// Returns the incarnation of the worker, which starts at 1 and increases whenever its lease
  /// expires.
  std::uint64_t incarnation() const { return incarnation_; }
  const std::map<task_key, task>& tasks() const { return tasks_; }

 private:
  enum class state { starting, up, gone };
  /// A command from a controller that concerns one attempt of a task.
  struct command;

  time_point now() const;
  site_context& context() const;

  void serve_request(const net::request& message, const net::reply_fn& reply);
  void heartbeat();
  void send_heartbeat();
  void heartbeat_answered(const net::response& reply, const std::string& address, time_point sent);
  void follow_redirect(const net::response& reply);
  json status();

  static command read_command(const json& order);
  bool accept_commands(const std::string& body);
  void execute(const json& commands);
  void start_task(const command& start);
  void stop_task(const command& stop);
  void acknowledge_exit(const command& acknowledgement);

  void expire_lease();
  void step();
  void advance(const task_key& key, task& advanced);
  void finish_fetching(const task_key& key, task& fetched);
  void wait_for_gang(const task_key& key, task& member);
  void continue_running(const task_key& key, task& running);
  void end_task(const task_key& key, task& ended, exit_cause cause);

  sim_fleet& fleet_;
  const std::string name_;
  const std::string zone_;
  const bool spot_;
  const time_point created_at_;
  state state_ = state::starting;
  bool faulty_ = false;
  std::map<task_key, task> tasks_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t token_ = 0;  // the highest fencing token seen
  time_point lease_from_{};
  time_point hangs_until_{};
  std::vector<std::string> held_commands_;  // request bodies received while hanging
  std::set<std::string> images_;            // ids of jobs whose image is on the machine
  std::size_t target_ = 0;                  // index of the controller that receives the heartbeats
  bool heartbeat_in_flight_ = false;
  callback_guard guard_;
};

}  // namespace gingerdrift::testing
