#pragma once

#include <memory>

#include "daemon/metrics.hpp"
#include "daemon/planner.hpp"
#include "daemon/settings.hpp"
#include "dependencies/tracker.hpp"
#include "fleet/inventory.hpp"
#include "front/node_services.hpp"
#include "store/job_book.hpp"
#include "workers/registry.hpp"

namespace gingerdrift::daemon {

/// How old what a controller knows of cancellations may be while it still renews workers' leases:
/// a leader that lost the store counts it from the end of its own lease, a deputy from its reading.
duration keeper_grace(const platform_settings& platform);
/// Where a worker's lease outlasts the time a cancellation has, once the tasks are gone.
store::cancellation_told when_cancellations_are_told(const platform_settings& platform);

/// One term of leadership: everything the leader knows, rebuilt from the store, and the loop that
/// turns it into decisions. Gone when the term ends.
class term : private dependencies::tracker_owner {
 public:
  struct hooks {
    std::function<void()> deposed;
    std::function<bool()> valid;
    std::function<void(const std::string&, const store::stored_end&)> finished;
    /// A final state that this process has seen in the store.
    std::function<std::optional<store::stored_end>(const std::string&)> remembered;
  };
  term(net::runtime& runtime, store::client& store, const platform_settings& platform,
       const operator_settings& rules, std::uint64_t token, const store::condition& leader,
       std::vector<admission::machine_type> types, planner& plans, metrics& measured, hooks events);
  ~term() override;
  term(const term&) = delete;
  term& operator=(const term&) = delete;

  void start();
  bool ready() const { return ready_; }
  /// Answers a worker; with an empty text when the term has ended.
  void report(workers::report said, std::function<void(std::string)> answer);
  /// What users may be told of a job in the book; only while the leader's lease is valid.
  std::optional<store::job_state> state_of(const std::string& id);
  void cancel(const std::string& id, store::job_book::end_fn done);
  /// A job may be new in the store: read it.
  void look_up(const std::string& id);
  nlohmann::json status() const;
  /// When workers were last heard; the start of the term if never.
  time_point last_report() const { return last_report_; }
  bool heard_workers() const { return last_report_ != started_; }
  /// Machines that should report.
  std::size_t machines() const;

 private:
  static constexpr auto tick_period = seconds(1);

  // What the dependency tracker asks.
  void take_job(const store::entry& head, time_point asked) override { take_in(head, asked); }
  std::optional<store::stored_end> remembered_end(const std::string& job) override {
    return events_.remembered(job);
  }
  void dependencies_changed() override { changed(); }

  void load(const std::string& prefix, const std::string& after);
  void loaded();
  void follow();
  /// `asked`: when the store was asked for it.
  void take_in(const store::entry& found, time_point asked);
  void take_in_head(const std::string& id, const store::entry& found, time_point asked);
  void changed();
  void pass();
  admission::snapshot timed_picture();
  admission::snapshot picture();
  std::shared_ptr<const admission::job_view> view(store::job& one) const;
  std::shared_ptr<const admission::machine_view> view(workers::worker& at,
                                                      const admission::machine_type& type) const;
  void apply(const admission::decisions& made);
  bool may_start(const store::job& one, std::uint32_t task, const workers::worker& at);
  void answer_kept();
  void answer_early(bool over);
  void tick();
  void drain(workers::worker& at);
  duration silence() const;
  void look_at_zones();
  bool cut_off(const std::string& zone) const;
  bool in_doubt(const std::string& zone) const;
  duration allowance(const std::string& zone) const;
  void return_machines();
  using idle_machines = std::vector<std::pair<time_point, std::string>>;  // since when
  void return_idle(const admission::pool& where, idle_machines found);
  void look_for_deputies();

  /// A report that freed places: its answer waits for the pass that fills them.
  struct kept_report {
    workers::report said;
    std::function<void(std::string)> answer;
    time_point until;
    std::uint64_t after_pass = 0;  // waits for a later pass than this
  };

  net::runtime& runtime_;
  store::client& store_;
  const platform_settings& platform_;
  const operator_settings& rules_;
  std::uint64_t token_;
  planner& planner_;
  metrics& metrics_;
  hooks events_;
  store::job_book book_;
  dependencies::tracker dependencies_;
  workers::registry workers_;
  fleet::inventory fleet_;
  std::map<std::string, std::size_t> team_index_;
  std::vector<store::entry> log_entries_;  // until all records are read
  bool ready_ = false;
  bool loading_ = true;
  std::uint64_t watch_from_ = 0;
  std::set<std::string> looking_;
  std::set<std::string> expected_;
  std::set<std::string> deaf_zones_;               // where many machines don't hear us
  std::map<std::string, time_point> cut_seen_;     // when a zone was last found cut off
  std::map<std::string, time_point> doubted_;      // when much of it was last found overdue
  std::map<std::string, std::uint64_t> deputies_;  // their records' versions, as last read
  std::set<std::string> deputy_zones_;             // where one acts
  std::optional<time_point> quiet_from_;           // none has acted since
  bool looking_for_deputies_ = false;
  std::vector<kept_report> kept_;
  std::vector<kept_report> early_;  // came before the records were read
  std::uint64_t passes_begun_ = 0;
  std::uint64_t passes_done_ = 0;
  bool planning_ = false;
  bool dirty_ = false;
  time_point last_pass_{};
  duration pass_took_{};  // the last one, from picture to orders
  time_point started_;
  time_point last_report_;
  net::timer_id pass_timer_ = 0;
  net::timer_id tick_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::daemon
