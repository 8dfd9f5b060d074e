// Stand-ins of the platform for the cases of the second review: a key-value store, a cloud, workers
// and users, all in one process on loopback addresses, and control of real controller processes.
// They follow PROTOCOL-gingerdrift.md; a case injects its disruption through the hooks below.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/http_server.hpp"
#include "net/uv_runtime.hpp"

namespace review {

using json = nlohmann::json;
namespace net = gingerdrift::net;

// Exit statuses of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

struct team {
  std::string name;
  double gpus = 0;
  double gpus_max = 0;
};

/// Settings of the deployment; the defaults are those of the site vientos-guajira.
struct site_options {
  std::size_t controllers = 3;
  std::vector<std::string> zones = {"a", "b", "a"};  // of the controllers
  std::vector<std::string> machine_zones = {"a", "b"};
  std::vector<team> teams = {{"red", 0, 0}};
  double report_s = 2;
  double lease_s = 12;
  double gang_wait_s = 45;
  double gang_peer_s = 8;
  double cancel_s = 42;
  double state_rps = 150;
  double state_write_rps = 60;
  double value_kb = 8;
  std::size_t txn_ops = 24;
  double cloud_rps = 4;
  double list_lag_s = 5;
  double boot_s = 5;
  std::size_t capacity = 20;  // machines per zone and kind
  std::string announced_limits;  // lines of [params.state.next]
};

/// Description of a job as its user submits it.
struct job {
  std::string id;
  std::string team = "red";
  bool gang = false;
  int tasks = 1;
  double cpus = 4;
  double gpus = 8;
  double memory_gb = 16;
  std::string priority = "standard";
  std::string zone;
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double run_s = 5;
  double checkpoint_s = 0;
  double save_s = 0;
  std::vector<std::string> awaits;

  std::string body() const;
};

class site;

/// Token bucket with a burst of one second.
class rate_limit {
 public:
  explicit rate_limit(double rate) : rate_(rate), level_(rate) {}
  bool take(double now_s, double amount);

 private:
  double rate_;
  double level_;
  double last_s_ = 0;
};

/// Stand-in of the key-value store.
class state_store {
 public:
  explicit state_store(site& owner);

  /// Handles a request of a controller.
  void handle(std::size_t node, const net::request& message, const net::reply_fn& reply);
  const json* find(const std::string& key) const;

  /// What happens to a request; chosen by the hook for each request.
  struct treatment {
    enum class kind { normal, refuse, no_answer_not_done, no_answer_done } what = kind::normal;
    double delay_before_s = 0;  // until it is carried out
    double delay_after_s = 0;   // from then until it is answered
  };
  std::function<treatment(std::size_t node, const net::request& message)> hook;
  /// Called after each change of a key; the value is null for a removal.
  std::function<void(const std::string& key, const json* value)> on_change;

 private:
  struct entry {
    json value;
    std::uint64_t stamp = 0;
    std::uint64_t hold = 0;
  };
  struct lease {
    double ttl_s = 0;
    double until_s = 0;
  };
  struct change {
    std::uint64_t stamp = 0;
    std::string key;
    json value;  // null: deleted
  };
  struct watch {
    std::string prefix;
    std::uint64_t from = 0;
    net::reply_fn reply;
    double until_s = 0;
  };
  net::response perform(const net::request& message);
  net::response read(const std::string& key);
  net::response list(const std::string& target);
  net::response transact(const std::string& text);
  void apply(const std::string& key, const json* value, std::uint64_t hold);
  void open_watch(const std::string& target, const net::reply_fn& reply);
  json news_since(const std::string& prefix, std::uint64_t from) const;
  void tick();

  site& site_;
  std::map<std::string, entry> entries_;
  std::map<std::uint64_t, lease> leases_;
  std::deque<change> history_;
  std::vector<watch> watches_;
  std::uint64_t epoch_ = 1;
  std::uint64_t next_lease_ = 1;
  rate_limit requests_;
  rate_limit writes_;
};

/// Stand-in of one machine and its worker.
class machine {
 public:
  machine(site& owner, std::string name, std::string zone, bool spot, double ready_s);

  struct task {
    std::string job;
    int index = 0;
    std::uint64_t attempt = 0;
    std::string status = "pulling";
    std::string cause;
    double since_s = 0;  // when the present status began
    bool kept = false;
    bool on_machine() const { return status != "pulling" && status != "ended"; }
  };
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  bool spot() const { return spot_; }
  bool up() const { return up_; }
  bool gone() const { return gone_; }
  double created_s() const { return created_s_; }
  const std::vector<task>& tasks() const { return tasks_; }
  std::uint64_t token() const { return token_; }
  std::uint64_t shift() const { return shift_; }
  const std::string& address() const { return address_; }
  json report();
  void remove();
  /// Prefers this controller for the next report.
  void report_to(std::size_t node) { target_ = node; }
  /// Gives the notice that the cloud takes the machine away after this time.
  void warn(double seconds_left);
  /// The machine executes nothing for this long and then goes on.
  void hang(double seconds);
  bool hanging() const;

 private:
  friend class site;
  void boot();
  void schedule_report(double delay_s);
  void send_report();
  void answered(const net::response& reply, double sent_s, std::uint64_t shift);
  net::response serve(const net::request& message);
  bool execute(const json& orders);
  void run(const std::string& piece, std::uint64_t attempt);
  void stop(const std::string& piece, std::uint64_t attempt, double mercy_s);
  void reap(const std::string& piece, std::uint64_t attempt);
  void step();
  void end(task& ended, const std::string& cause);
  void note_change();

  site& site_;
  std::string name_;
  std::string zone_;
  bool spot_;
  std::string address_;
  double created_s_;
  bool up_ = false;
  bool gone_ = false;
  std::vector<task> tasks_;
  std::uint64_t shift_ = 1;
  std::uint64_t tick_ = 0;
  std::uint64_t token_ = 0;
  double lease_from_s_ = 0;
  double last_report_s_ = -100;
  double last_token_report_s_ = -100;
  bool in_flight_ = false;
  bool change_pending_ = false;
  std::size_t target_ = 0;
  net::timer_id report_timer_ = 0;
  std::optional<double> taken_at_s_;
  double hangs_until_s_ = 0;
  std::vector<std::pair<net::request, net::reply_fn>> held_commands_;
};

/// A controller process.
class controller {
 public:
  void start(const std::string& program, const std::string& settings, const std::string& log);
  void signal(int number) const;
  void kill_and_wait();
  bool running() const { return pid_ != 0; }
  /// Reports whether the process has ended although nobody killed it.
  bool ended_by_itself();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
};

/// A small deployment. Everything runs on the thread of `runtime`.
class site {
 public:
  explicit site(site_options chosen);
  ~site();

  const site_options options;
  net::uv_runtime runtime;
  state_store store;

  /// Seconds since the start of the case.
  double now() const;
  /// Writes a line to the record and to standard output.
  void note(const std::string& text);
  void after(double delay_s, std::function<void()> action);
  double uniform(double low, double high);
  /// Runs everything for this long, or until the case stops it.
  void run_for(double seconds);
  void stop() { runtime.stop(); }
  /// Runs until the condition holds; returns false after `limit_s`.
  bool run_until(const std::function<bool()>& condition, double limit_s);

  // Controllers.
  void start_controllers();
  void start_controller(std::size_t node);
  void kill_controller(std::size_t node);
  void pause_controller(std::size_t node);
  void resume_controller(std::size_t node);
  bool any_controller_ended();
  /// Ends all controllers, removes the temporary folder and ends this process.
  [[noreturn]] void finish(int status);
  /// The controller that the leader key names, or nothing.
  std::optional<std::size_t> leader() const;
  std::string front(std::size_t node) const;
  /// What a message between two controllers meets: its delays in seconds, or nothing if it is lost.
  std::function<std::optional<double>(std::size_t from, std::size_t to)> peer_link;

  // Users.
  std::map<std::string, job> jobs;
  struct answer {
    int status = 0;
    std::string state;
    double asked_s = 0;
    double answered_s = 0;
  };
  using answer_fn = std::function<void(const answer&)>;
  /// Sends one request of a user and notes the answer.
  void request(std::size_t node, const std::string& method, const std::string& target,
               const std::string& body, double patience_s, answer_fn done);
  void submit(const job& submitted, std::size_t node, answer_fn done = {});
  void poll(const std::string& id, std::size_t node, answer_fn done = {});
  void withdraw(const std::string& id, std::size_t node, answer_fn done = {});
  /// Repeats until the job is accepted.
  void submit_until_accepted(const job& submitted, std::size_t first_node = 0);
  /// Repeats until the cancellation is answered with 200.
  void withdraw_until_answered(const std::string& id, std::size_t first_node = 0);
  std::set<std::string> accepted;
  std::map<std::string, double> cancelled_at_s;  // when its user was told
  std::map<std::string, std::string> final_state;

  // Machines and cloud.
  machine& add_machine(const std::string& zone, bool spot, double ready_s);
  std::vector<std::unique_ptr<machine>> machines;
  double gpus_in_use(const std::string& team) const;
  /// Called when a task has its image and starts on its machine.
  std::function<void(const machine&, const machine::task&)> on_start;
  /// Called when a `run` command is carried out.
  std::function<void(const machine&, const machine::task&)> on_run;
  /// Called when a task ends.
  std::function<void(const machine&, const machine::task&)> on_end;
  /// Called with the body of each answer to a report.
  std::function<void(const machine&, const std::string& body)> on_answer;
  /// Decides whether a report reaches its controller and its answer the worker.
  enum class passage { both, nothing, report_only };
  std::function<passage(const machine&, std::size_t node)> report_link;
  std::function<bool(const machine&)> commands_arrive;
  std::set<std::pair<std::string, int>> done_tasks;
  double fetch_s = 0.3;

  std::string machine_address(std::size_t index) const;
  void listen(const std::string& address, net::handler_fn handler);
  std::mt19937_64 random{12345};

 private:
  net::response handle_cloud(const net::request& message);
  void serve_controller_links(std::size_t node);
  void write_settings(std::size_t node);
  std::string host(std::size_t last) const;
  std::string directory_;
  std::string program_;
  std::vector<std::string> run_arguments_;
  std::string block_;
  std::vector<controller> controllers_;
  std::vector<std::unique_ptr<net::http_server>> servers_;
  std::map<std::string, std::vector<std::string>> rentals_;
  std::deque<std::pair<double, json>> listings_;
  std::FILE* record_ = nullptr;
  gingerdrift::time_point start_;
  std::size_t next_machine_ = 231;
};

/// Reports whether the disruption is to be injected: TROUBLE=0 leaves it out.
bool trouble();
net::response json_response(int status, const json& body);
std::string format(const char* text, ...) __attribute__((format(printf, 1, 2)));

}  // namespace review
