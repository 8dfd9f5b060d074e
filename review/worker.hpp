#pragma once

#include <map>
#include <string>
#include <vector>

#include "net/timer.hpp"
#include "record.hpp"
#include "service.hpp"

namespace review {

class fleet;

/// Type, zone and kind of a machine.
struct machine_kind {
  std::string type;
  std::string zone;
  bool spot = false;
};

/// Settings of the workers, as in the platform's file.
struct worker_settings {
  double report_s = 3;
  double lease_s = 24;
  double gang_wait_s = 50;
  double gang_peer_s = 4;
};

/// A task that a worker reports.
struct reported_task {
  std::uint64_t attempt = 0;
  std::string status;  // as on the wire
  std::string cause;   // only if the status is `ended`
  time_point since{};  // when the task got this status
  bool saved = false;  // whether the task saved its progress when it was stopped
};

/// Stand-in for the worker of one machine. Follows the protocol for reports, tokens, leases and
/// commands. Tasks never fail by themselves.
class worker {
 public:
  worker(fleet& owner, std::string name, machine_kind kind);
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  const std::string& name() const { return name_; }
  const machine_kind& kind() const { return kind_; }
  const std::string& address() const { return address_; }
  const std::map<std::string, reported_task>& tasks() const { return tasks_; }
  time_point created_at() const { return created_at_; }
  bool is_up() const { return up_ && !gone_; }
  bool is_gone() const { return gone_; }
  /// Reports whether the worker has no task that could still run.
  bool is_idle() const;
  /// Reports whether a controller answered a report that was sent within the last `age`.
  bool answered_within(duration age) const;

  void boot();
  /// Ends the machine with everything on it.
  void vanish();
  /// Advances the tasks; called by the fleet many times a second.
  void step();

 private:
  json report();
  void send_report();
  void report_answered(const gingerdrift::net::response& answer, time_point sent,
                       std::uint64_t session);
  void go_to_next_controller();
  void schedule_report(duration delay);
  void note_change();
  void execute(const json& commands);
  void start_task(const std::string& task, std::uint64_t attempt);
  void stop_task(const std::string& task, std::uint64_t attempt, double grace_s);
  void handle_request(const gingerdrift::net::request& message,
                      const gingerdrift::net::reply_fn& reply);
  void set_status(const std::string& task, const std::string& status,
                  const std::string& cause = "");
  void step_task(const std::string& name, reported_task& task);

  fleet& fleet_;
  std::string name_;
  machine_kind kind_;
  std::string address_;
  time_point created_at_;
  bool up_ = false;
  bool gone_ = false;
  std::map<std::string, reported_task> tasks_;
  std::map<std::string, time_point> images_;  // when each image is or will be complete
  std::uint64_t session_ = 1;
  std::uint64_t tick_ = 0;
  std::uint64_t token_ = 0;
  time_point lease_from_{};
  time_point last_report_{};
  time_point last_answered_{};
  bool report_in_flight_ = false;
  std::size_t target_ = 0;
  gingerdrift::net::timer report_timer_;
  std::unique_ptr<gingerdrift::net::http_server> server_;
  gingerdrift::callback_guard guard_;
};

}  // namespace review
