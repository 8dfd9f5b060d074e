#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "support/sim_fleet.hpp"

namespace gingerdrift::testing {

/// Whether a job's state, as the users' interface names it, never changes
/// again.
inline bool is_final_state(const std::string& state) {
  return state == "done" || state == "cancelled";
}

/// A job's state as a controller gave it in answer to a request.
struct state_answer {
  std::string job;
  std::string state;
  time_point requested_at;
};

/// What its user knows of a job.
struct user_record {
  struct final_answer {
    std::string state;
    time_point received_at;
  };
  std::optional<time_point> submitted_at;  // for the first time
  std::optional<time_point> accepted_at;
  std::optional<time_point> polled_at;  // when a poll last got an answer
  std::string state;                    // of the latest answer that counts; empty: none yet
  std::optional<final_answer> first_final;
  bool cancel_requested = false;
  bool polling = false;

  bool has_state() const { return !state.empty(); }
  bool is_finished() const { return is_final_state(state); }
};

/// Told of each state that users are given, before they take it in.
class answer_observer {
 public:
  virtual ~answer_observer() = default;
  virtual void state_received(const state_answer& answer) = 0;
};

/// Simulated users: they submit jobs, repeat what was not answered, poll, and
/// cancel. An answer that denies a job they know is a rule violation
/// ("forgotten").
class sim_users {
 public:
  using record_map = std::map<std::string, user_record>;

  sim_users(site_context& context, sim_fleet& fleet) : context_(context), fleet_(fleet) {}
  /// To be called once, before the first submission.
  void set_observer(answer_observer& observer) { observer_ = &observer; }

  /// Submits a job; one with dependencies once these are accepted.
  void submit(const sim_job& job);
  void submit_after(duration delay, const sim_job& job);
  /// Sends the submission again, until it is answered.
  void resubmit(const std::string& job);
  /// Cancels a job, and repeats the request until it is answered.
  void cancel(const std::string& job);
  void cancel_after(duration delay, const std::string& job);
  /// Cancels, all at once, that many of the running jobs that have longest to
  /// go. With `hang`, up to eight of their machines hang meanwhile.
  void cancel_running(std::size_t count, duration hang);
  /// For that long, this share of the jobs is cancelled and submitted again at
  /// the very moment they are done.
  void cancel_as_jobs_end(double share, duration span);
  /// To be called as a job's last task is done.
  void job_done(const std::string& job);

  /// A random controller's address.
  std::string random_controller_address();
  /// Takes in a state that some request was answered with.
  void receive(const state_answer& answer);
  /// The same for a response's body.
  void receive(const std::string& job, const net::response& reply, time_point requested_at);

  /// By job; a job that is cancelled before it is submitted has a record, too.
  const record_map& records() const { return records_; }
  const user_record& record(const std::string& job) const;
  /// Whether every job has come to a final state.
  bool all_finished() const;
  /// The jobs whose latest state is this.
  std::size_t count(const std::string& state) const;
  /// Whether any submitted job has dependencies.
  bool has_dependents() const { return has_dependents_; }

  /// Whether the controller at an address supports dependencies: users don't
  /// ask others for them.
  std::function<bool(const std::string& node)> supports_dependencies = [](const std::string&) {
    return true;
  };
  /// Called as a job is accepted, and as its first final state is received.
  std::function<void(const std::string& job)> on_milestone;

 private:
  struct remaining_time {
    std::string job;
    double seconds;
  };
  void poll_later(const std::string& job);
  void poll_answered(const std::string& job, const net::response& reply, time_point requested_at);
  void submission_answered(const std::string& job, const net::response& reply,
                           time_point requested_at);
  void send_cancellation(const std::string& job);
  void cancellation_answered(const std::string& job, const net::response& reply,
                             time_point requested_at);
  /// One of these addresses at random.
  std::string choose(const std::vector<std::string>& addresses);
  std::string address_for(const sim_job& job);
  std::vector<remaining_time> running_jobs() const;
  std::size_t hang_machines_of(const std::string& job, duration span, std::size_t limit);

  site_context& context_;
  sim_fleet& fleet_;
  answer_observer* observer_ = nullptr;
  record_map records_;
  bool has_dependents_ = false;
  double ending_share_ = 0;
  time_point ending_until_{};
};

}  // namespace gingerdrift::testing
