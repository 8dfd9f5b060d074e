#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "support/sim_fleet.hpp"

namespace gingerdrift::testing {

/// Reports whether a job state, as named in the user API, is final.
inline bool is_final_state(const std::string& state) {
  return state == "done" || state == "cancelled";
}

/// A job state that a controller returned in answer to a request.
struct state_answer {
  std::string job;
  std::string state;
  time_point requested_at;
};

/// The responses that the user of a job has received so far, and the requests made.
struct user_record {
  /// A final state and the time at which it was received.
  struct final_answer {
    std::string state;
    time_point received_at;
  };
  std::optional<time_point> submitted_at;  // first submission
  std::optional<time_point> accepted_at;
  std::optional<time_point> polled_at;  // most recent successful answer to a poll
  std::string state;  // most recent state, never replaced by a non-final one after a final one;
                      // empty: none yet
  std::optional<final_answer> first_final;
  bool cancel_requested = false;
  bool polling = false;

  bool has_state() const { return !state.empty(); }
  bool is_finished() const { return is_final_state(state); }
};

/// Receives each job state that a controller returns to users, before the user's record is updated.
class answer_observer {
 public:
  virtual ~answer_observer() = default;
  virtual void state_received(const state_answer& answer) = 0;
};

/// Simulated users, who submit, poll and cancel jobs, and retry requests that were not answered. It
/// is a rule violation ("forgotten") if an accepted job is reported as unknown or a valid
/// submission is rejected.
class sim_users {
 public:
  using record_map = std::map<std::string, user_record>;

  sim_users(site_context& context, sim_fleet& fleet) : context_(context), fleet_(fleet) {}
  /// Sets the observer. Must be called once, before the first submission.
  void set_observer(answer_observer& observer) { observer_ = &observer; }

  /// Submits a job. A job with dependencies is submitted once all of these are accepted.
  void submit(const sim_job& job);
  void submit_after(duration delay, const sim_job& job);
  /// Sends the submission of a job again and retries until it is accepted or rejected.
  void resubmit(const std::string& job);
  /// Cancels a job and retries the request until it succeeds.
  void cancel(const std::string& job);
  void cancel_after(duration delay, const std::string& job);
  /// Cancels, within 0.2 s, the `count` running jobs with the longest remaining run time. If `hang`
  /// is not zero, up to eight of their machines hang for that time.
  void cancel_running(std::size_t count, duration hang);
  /// During the given span, cancels and resubmits this share of the jobs at the moment when their
  /// last task is done.
  void cancel_as_jobs_end(double share, duration span);
  /// Must be called when the last task of a job is done.
  void job_done(const std::string& job);

  /// Returns the address of a random controller.
  std::string random_controller_address();
  /// Processes a job state that a controller returned.
  void receive(const state_answer& answer);
  /// Processes the job state in the body of a response.
  void receive(const std::string& job, const net::response& reply, time_point requested_at);

  /// Returns the records by job. A job that is cancelled before its submission also has a record.
  const record_map& records() const { return records_; }
  const user_record& record(const std::string& job) const;
  /// Reports whether users have received a final state for every submitted job.
  bool all_finished() const;
  /// Returns the number of jobs whose most recent state is `state`.
  std::size_t count(const std::string& state) const;
  /// Reports whether any submitted job has dependencies.
  bool has_dependents() const { return has_dependents_; }

  /// Reports whether the controller at an address supports dependencies. Users submit jobs with
  /// dependencies only to such controllers.
  std::function<bool(const std::string& address)> supports_dependencies = [](const std::string&) {
    return true;
  };
  /// Called when a job is accepted, and when its first final state is received.
  std::function<void(const std::string& job)> on_milestone;

 private:
  /// A running job and the longest remaining run time of its tasks.
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
  /// Returns one of the addresses at random.
  std::string random_address(const std::vector<std::string>& addresses);
  std::string address_for(const sim_job& job);
  std::vector<remaining_time> running_jobs() const;
  std::size_t hang_machines_of(const std::string& job, duration span, std::size_t limit);

  site_context& context_;
  sim_fleet& fleet_;
  answer_observer* observer_ = nullptr;
  record_map records_;
  bool has_dependents_ = false;
  double cancel_at_end_share_ = 0;
  time_point cancel_at_end_until_{};
};

}  // namespace gingerdrift::testing
