#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "admission/types.hpp"
#include "base/ids.hpp"
#include "base/range_set.hpp"
#include "base/time.hpp"
#include "job_store/job_spec.hpp"
#include "job_store/record_codec.hpp"
#include "job_store/record_keys.hpp"
#include "job_store/record_layout.hpp"
#include "job_store/terminal_state.hpp"

namespace gingerdrift::job_store {

/// Phase of an attempt, as reported in the heartbeats of its worker.
enum class attempt_phase : std::uint8_t {
  placed,    // stored or about to be stored; the start command has not been sent
  sent,      // the start command was sent; whether it arrived is unknown
  fetching,  // the machine downloads the task's image
  waiting,   // a gang member that waits for the other members
  running,
  saving,  // the task was told to stop and saves its work
  exited
};

/// An attempt to run a task on a machine. The first three fields are stored before the start
/// command is sent.
struct attempt {
  attempt_number number;
  machine_name machine;
  worker_incarnation incarnation;
  // The remaining fields exist only in the leader's memory.
  attempt_phase phase = attempt_phase::placed;
  std::uint64_t change = 0;         // the attempt is stored once this change of its unit is
  bool in_placement_log = false;    // the attempt is stored in the placement log
  bool adopted = false;             // the attempt was read from the store by this term's leader
  bool reported_by_worker = false;  // its worker has listed the attempt in a heartbeat
  /// Sequence number of the heartbeat whose answer carried the start command; 0 if none did.
  std::uint64_t sent_in_reply_to = 0;
  bool stopping = false;  // the task was told to stop
  duration grace{};       // time to save its work; valid while `stopping`
  time_point running_since{};
};

/// State of one key of a job's record: the head, or a part that holds a range of tasks.
struct record_unit {
  store_revision version;  // version of the key, as last read or written by this leader
  /// Number of the newest change. It is stored, so that a successor continues the count.
  std::uint64_t latest_change = 1;
  std::uint64_t stored_change = 0;  // number of the newest change that is stored
  attempt_number next_attempt{1};   // lowest number for the unit's next attempt

  bool dirty() const { return stored_change < latest_change; }
};

/// The furthest of the writes that end a job which has been sent. A write that was sent may be
/// applied at any time, whether or not it is answered, so this value never decreases.
enum class end_write : std::uint8_t {
  none,
  status_sent,        // a head record with the final status was sent
  final_record_sent,  // the final record was sent
};

/// Rules for delaying the next attempts of a job after failures of its tasks.
struct failure_policy {
  /// Failures on this many different machines are attributed to the job, not to the machines.
  std::size_t distinct_machines = 3;
  /// Pause after a failure that may be caused by the machine.
  duration pause = milliseconds(500);
  /// Back-off after failures that are attributed to the job. It doubles with each round, at most
  /// `doubling_limit` times and up to `backoff_limit`.
  duration first_backoff{};
  duration backoff_limit{};
  std::uint32_t doubling_limit = 0;
};

/// Presumed cause of a task's failure.
enum class failure_verdict : std::uint8_t { undecided, job_at_fault };

/// A job in the leader's memory. A job of up to `tasks_per_unit` tasks is stored under one key. A
/// larger job stores its attempts and finished tasks in part records under keys of their own, which
/// keeps every value small.
///
/// Its state is read through accessors and changed only through the operations below. The caller
/// must mark changes of stored state in the job table, which writes them.
class job {
 public:
  /// Minimum number of tasks per unit.
  static constexpr std::uint32_t min_tasks_per_unit = 16;

  /// `created_ms`: milliseconds since 1970. `tasks_per_unit`: number of tasks that a unit holds. It
  /// is stored with the job and never changes, because the number that is planned for new jobs
  /// depends on the settings.
  job(job_spec spec, std::int64_t created_ms, std::uint32_t tasks_per_unit = min_tasks_per_unit);

  // Description and status:

  const job_spec& spec() const { return spec_; }
  std::int64_t created_ms() const { return created_ms_; }
  /// Time at which the last dependency was done, in ms since 1970; 0 if the job never had to wait
  /// or still waits for dependencies.
  std::int64_t ready_ms() const { return ready_ms_; }
  /// Time from which the job's age is counted, in ms since 1970.
  std::int64_t queued_ms() const { return ready_ms_ != 0 ? ready_ms_ : created_ms_; }
  /// Reports whether the job waits because some dependency is not known to be stored as done. No
  /// task of a waiting job may be scheduled.
  bool waiting() const { return waiting_; }
  /// Dependencies that the job waits for; only meaningful while `waiting()`.
  const std::vector<job_id>& dependencies() const { return dependencies_; }
  /// Keys of their own that hold further dependencies, which are still to be read.
  const dependency_parts& more_dependencies() const { return more_dependencies_; }
  job_status status() const { return status_; }
  bool active() const { return status_ == job_status::active; }
  /// Current attempts by task index.
  const std::map<std::uint32_t, attempt>& attempts() const { return attempts_; }
  /// Indexes of the finished tasks.
  const range_set& done() const { return done_; }
  bool all_tasks_done() const { return done_.count() == spec_.tasks; }
  /// Reports whether the job has ended and no task of it can still run, so that its final record
  /// may be written.
  bool ready_to_finalize() const { return !active() && attempts_.empty(); }
  /// Terminal state of the job; nothing until it is stored.
  const std::optional<terminal_state>& stored_terminal_state() const {
    return stored_terminal_state_;
  }
  end_write end_write_sent() const { return end_write_sent_; }
  /// Reports whether only the final record remains to be written.
  bool is_finalizing() const { return is_finalizing_; }
  /// Cached view of the job for scheduling cycles; null once anything shown in the view has
  /// changed.
  const std::shared_ptr<const admission::job_view>& view() const { return view_; }

  // Task failures:

  /// Number of failures by machine.
  const std::map<machine_name, std::uint32_t>& failures_by_machine() const {
    return failures_by_machine_;
  }
  time_point last_failure_time() const { return last_failure_time_; }
  /// How often failures were attributed to the job since its last success.
  std::uint32_t backoff_rounds() const { return backoff_rounds_; }
  /// Earliest time at which tasks of the job may be placed.
  time_point not_before() const { return not_before_; }
  /// Reports whether some member of the gang's current attempt was reported as running.
  bool gang_started() const { return gang_started_; }

  // Record units:

  /// Number of tasks that a unit holds.
  std::uint32_t tasks_per_unit() const { return tasks_per_unit_; }
  /// Reports whether the job has part records.
  bool large() const { return spec_.tasks > tasks_per_unit_; }
  /// Index of the unit that holds a task.
  std::size_t unit_of(std::uint32_t task) const { return large() ? 1 + task / tasks_per_unit_ : 0; }
  /// The head, followed by the parts of a large job.
  const std::vector<record_unit>& units() const { return units_; }
  const record_unit& head() const { return units_[0]; }
  /// Reports whether an attempt is stored. The start command may be sent only after that, because a
  /// successor must be able to read the attempt from the store.
  bool attempt_stored(std::uint32_t task, const attempt& attempt) const {
    return attempt.in_placement_log || units_[unit_of(task)].stored_change >= attempt.change;
  }
  /// Number of parts that exist in the store, as last read or written by this leader.
  std::size_t stored_parts() const;

  // State changes:

  /// Discards the cached view, so that the next scheduling cycle builds a new one.
  void invalidate_view() { view_.reset(); }
  /// Caches the view for scheduling cycles until it is invalidated.
  void cache_view(std::shared_ptr<const admission::job_view> view) { view_ = std::move(view); }
  void cancel() { status_ = job_status::cancelled; }
  /// Sets the status of an active job to done if all of its tasks are done. Returns whether it did.
  bool complete_if_all_tasks_done();

  /// Makes the job wait for the jobs in `names` and for those listed under the keys of `more`.
  void wait_for(std::vector<job_id> names, dependency_parts more = {});
  /// Adds dependencies that were read from one of the keys of `more_dependencies()`.
  void append_dependencies(const std::vector<job_id>& names);
  /// Ends the wait because all dependencies are stored as done. `now_ms`: since 1970.
  void become_ready(std::int64_t now_ms);
  /// Ends the wait because the job is cancelled.
  void stop_waiting() { waiting_ = false; }
  /// Removes the reference to the dependency keys from the head record and returns it.
  dependency_parts release_dependency_parts();

  // Attempts:

  /// Returns the number for a new attempt at a task. Numbers are never reused, except that all
  /// members of a gang's attempt, including those that replace a member, share one number.
  attempt_number allocate_attempt_number(std::uint32_t task);
  /// Adds a new attempt, which is not stored yet.
  void place_attempt(std::uint32_t task, attempt_number number, const machine_name& machine,
                     worker_incarnation incarnation);
  /// Removes an attempt that has exited or is proven to be gone.
  void remove_attempt(std::uint32_t task) { attempts_.erase(task); }
  /// Marks all attempts as read from the store by this term's leader.
  void adopt_attempts();
  /// Records that the start command is sent in the answer to the heartbeat with the sequence number
  /// `heartbeat`.
  void mark_sent(std::uint32_t task, std::uint64_t heartbeat);
  /// Sets the phase in which the worker lists the attempt.
  void update_phase(std::uint32_t task, attempt_phase phase, time_point now);
  /// Records that the attempt was told to stop, with `grace` to save its work.
  void mark_stopping(std::uint32_t task, duration grace);
  /// Counts a gang member that timed out waiting for the other members. Returns the number of such
  /// timeouts in the current attempt.
  std::uint32_t count_gang_wait_timeout() { return ++gang_wait_timeouts_; }
  /// Ends the gang's attempt once all of its members are gone. The next attempt gets a new number.
  void reset_gang_attempt();
  /// Records that a task succeeded, which completes all tasks of a gang. Clears the job's failures.
  void finish_task(std::uint32_t task);

  // Failures:

  /// Records that a task failed on `machine`, and sets the job's back-off.
  failure_verdict record_failure(const machine_name& machine, time_point now,
                                 const failure_policy& policy);
  /// Clears the failure counts, so that the job may run on the machines again.
  void clear_failures();
  /// Prevents placements of the job until `when`.
  void back_off_until(time_point when) { not_before_ = when; }

  // Writing to the store:

  /// Marks a unit as changed, which increments its change number.
  void mark_changed(std::size_t unit);
  /// Links an attempt to the latest change of its unit: it is stored once that change is stored.
  void link_attempt_to_latest_change(std::uint32_t task);
  /// Records that the placement log contains the attempt that was placed with that change of its
  /// unit. Returns false if the task now has another attempt, or none.
  bool mark_in_placement_log(std::uint32_t task, std::uint64_t change);
  /// Sets the version of a unit's key.
  void set_version(std::size_t unit, store_revision version) { units_[unit].version = version; }
  /// Records that the store has all changes of a unit up to `change`.
  void mark_stored(std::size_t unit, std::uint64_t change);
  /// Records that a write that ends the job was sent.
  void mark_end_write_sent(end_write sent) { end_write_sent_ = std::max(end_write_sent_, sent); }
  /// Sets the stored terminal state, which may be reported to users from then on.
  void mark_end_stored(const terminal_state& end) { stored_terminal_state_ = end; }
  /// Starts finalizing the job: only its final record remains to be written.
  void start_finalizing() { is_finalizing_ = true; }

  // Restoring from stored records:

  void restore_ready_time(std::int64_t ready_ms) { ready_ms_ = ready_ms; }
  /// Restores the lowest number for the unit's next attempt.
  void restore_next_attempt(std::size_t unit, attempt_number number) {
    units_[unit].next_attempt = number;
  }
  /// Restores the number of a unit's newest change, which is stored.
  void restore_change(std::size_t unit, std::uint64_t change);
  void restore_done(std::uint32_t first, std::uint32_t last) { done_.insert_range(first, last); }
  /// Restores an attempt that an earlier leader placed.
  void restore_attempt(std::uint32_t task, const attempt& stored);
  /// Restores an attempt of an earlier leader that is in the placement log but not in the record of
  /// its unit.
  void restore_logged_attempt(std::uint32_t task, const attempt& logged);
  /// Restores the terminal state from the head record.
  void restore_end(const terminal_state& end);

 private:
  job_spec spec_;
  std::int64_t created_ms_;
  std::int64_t ready_ms_ = 0;
  bool waiting_ = false;
  std::vector<job_id> dependencies_;
  dependency_parts more_dependencies_;
  job_status status_ = job_status::active;
  std::map<std::uint32_t, attempt> attempts_;
  range_set done_;
  std::uint32_t tasks_per_unit_;
  std::vector<record_unit> units_;  // [0] is the head; a large job has parts after it
  std::optional<terminal_state> stored_terminal_state_;
  end_write end_write_sent_ = end_write::none;
  bool is_finalizing_ = false;
  std::map<machine_name, std::uint32_t> failures_by_machine_;
  time_point last_failure_time_{};
  std::uint32_t backoff_rounds_ = 0;
  time_point not_before_{};
  attempt_number gang_attempt_;  // number of the gang's current attempt
  bool gang_started_ = false;
  std::uint32_t gang_wait_timeouts_ = 0;  // gang members that timed out in the current attempt
  std::shared_ptr<const admission::job_view> view_;
};

}  // namespace gingerdrift::job_store
