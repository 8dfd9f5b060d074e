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

/// How far an attempt is, as its worker's heartbeats show.
enum class attempt_phase : std::uint8_t {
  placed,    // stored or about to be; its start has not been sent
  sent,      // its start was sent, and may or may not have arrived
  fetching,  // the machine fetches its image
  waiting,   // a gang's member that waits for the others
  running,
  saving,  // it was told to stop and saves its work
  exited
};

/// An attempt at a task on a machine. The first three fields are stored before its start is sent.
struct attempt {
  attempt_number number;
  machine_name machine;
  worker_incarnation incarnation;
  // Only in the leader's memory:
  attempt_phase phase = attempt_phase::placed;
  std::uint64_t change = 0;         // stored once its unit has reached this change
  bool logged = false;              // the placement log has it
  bool adopted = false;             // found in the store by this term's leader
  bool reported_by_worker = false;  // listed by its worker at least once
  std::uint64_t sent_in_reply_to =
      0;  // sequence number of the heartbeat whose answer carried its start
  bool stopping = false;
  duration grace{};  // to save its work; counts while it is stopping
  time_point running_since{};
};

/// A piece of a job that is written as one key: the head, or a part holding a range of tasks.
struct record_unit {
  store_revision version;           // the key's, as far as this leader has read or written it
  std::uint64_t latest_change = 1;  // counts changes; stored too, so that the count goes on
  std::uint64_t stored_change = 0;  // the newest change that is stored
  attempt_number next_attempt{1};

  bool dirty() const { return stored_change < latest_change; }
};

/// How far the writes that end a job have been sent. One that was sent may be carried out at any
/// moment, whether it is answered or not; so this never goes back.
enum class end_write : std::uint8_t {
  none,
  status_sent,        // a head with the final status
  final_record_sent,  // the final record
};

/// How failures of a job's tasks delay its next attempts.
struct failure_policy {
  /// Failures on so many different machines are the job's own.
  std::size_t distinct_machines = 3;
  /// Pause after a failure that may be the machine's.
  duration pause = milliseconds(500);
  /// Back-off of a job that fails everywhere; it doubles each round.
  duration first_backoff{};
  duration backoff_limit{};
  std::uint32_t doubling_limit = 0;
};

/// Whose failure it seems to be when a task has failed.
enum class failure_verdict : std::uint8_t { undecided, job_at_fault };

/// A job as the leader holds it. Jobs of up to `unit_tasks` tasks are one key; larger ones spill
/// their attempts and finished ranges into part keys, which keeps every value small.
///
/// It is read through accessors and changes by its operations alone. Changes of stored fields have
/// to be marked in the job table, which writes them.
class job {
 public:
  /// Tasks that a key holds at least.
  static constexpr std::uint32_t least_unit = 16;

  /// `created_ms`: since 1970. `unit_tasks`: tasks that a key holds, which never changes: it is
  /// stored, for what is planned for new jobs follows the settings.
  job(job_spec spec, std::int64_t created_ms, std::uint32_t unit_tasks = least_unit);

  // What it is:

  const job_spec& spec() const { return spec_; }
  std::int64_t created_ms() const { return created_ms_; }
  /// When the last of its dependencies was done, in ms since 1970; 0: it had none.
  std::int64_t ready_ms() const { return ready_ms_; }
  /// Its age counts from here, in ms since 1970.
  std::int64_t queued_ms() const { return ready_ms_ != 0 ? ready_ms_ : created_ms_; }
  /// Some dependency isn't stored as done, as far as is known: nothing of it may be scheduled.
  bool waiting() const { return waiting_; }
  /// What it waits for; empty unless it waits.
  const std::vector<job_id>& dependencies() const { return dependencies_; }
  /// Dependencies that are still to be read from keys of their own.
  const dependency_parts& more_dependencies() const { return more_dependencies_; }
  job_status status() const { return status_; }
  bool active() const { return status_ == job_status::active; }
  /// By task.
  const std::map<std::uint32_t, attempt>& attempts() const { return attempts_; }
  const range_set& done() const { return done_; }
  bool all_tasks_done() const { return done_.count() == spec_.tasks; }
  /// Over, and nothing of it can still run: its final record may be written.
  bool ready_to_finalize() const { return !active() && attempts_.empty(); }
  /// How it ended, once that is stored.
  const std::optional<terminal_state>& stored_terminal_state() const {
    return stored_terminal_state_;
  }
  end_write end_write_sent() const { return end_write_sent_; }
  /// Only its final record remains to be written.
  bool is_finalizing() const { return is_finalizing_; }
  /// What a scheduling cycle sees of it; empty once anything it shows has changed.
  const std::shared_ptr<const admission::job_view>& view() const { return view_; }

  // Failures of its tasks:

  /// Counts by machine.
  const std::map<machine_name, std::uint32_t>& failures_by_machine() const {
    return failures_by_machine_;
  }
  time_point last_failure_time() const { return last_failure_time_; }
  /// How often it failed everywhere since its last success.
  std::uint32_t backoff_rounds() const { return backoff_rounds_; }
  /// Nothing of it is placed earlier.
  time_point not_before() const { return not_before_; }
  /// Some member of the gang's attempt under way was seen running.
  bool gang_started() const { return gang_started_; }

  // The keys that hold it:

  std::uint32_t unit_tasks() const { return unit_tasks_; }
  bool large() const { return spec_.tasks > unit_tasks_; }
  /// The unit that holds a task.
  std::size_t unit_of(std::uint32_t task) const { return large() ? 1 + task / unit_tasks_ : 0; }
  /// The head, and the parts of a large job.
  const std::vector<record_unit>& units() const { return units_; }
  const record_unit& head() const { return units_[0]; }
  /// An attempt may only be sent once it is stored: a successor must know of it.
  bool attempt_stored(std::uint32_t task, const attempt& attempt) const {
    return attempt.logged || units_[unit_of(task)].stored_change >= attempt.change;
  }
  /// Parts that are stored, as far as this leader has read or written them.
  std::size_t stored_parts() const;

  // Changes of its state:

  /// A scheduling cycle has to see the job anew.
  void invalidate_view() { view_.reset(); }
  /// Scheduling cycles see that until it is invalidated.
  void cache_view(std::shared_ptr<const admission::job_view> view) { view_ = std::move(view); }
  void cancel() { status_ = job_status::cancelled; }
  /// Becomes done if all tasks of an active job are; returns whether it did.
  bool complete_if_all_tasks_done();

  /// Waits from now on for those jobs, and for the ones of a list in keys of its own.
  void wait_for(std::vector<job_id> names, dependency_parts more = {});
  /// Some of the list that was stored in keys of its own was read.
  void append_dependencies(const std::vector<job_id>& names);
  /// All of its dependencies are stored as done.
  void become_ready(std::int64_t now_ms);
  /// It is cancelled, and waits for nothing any more.
  void stop_waiting() { waiting_ = false; }
  /// Its head names no list in keys of its own any more; returns that list.
  dependency_parts release_dependency_parts();

  // Attempts:

  /// The number for a new attempt at a task. No attempt is numbered like an earlier one, except
  /// that the members of a gang share theirs, and so does one that replaces a member.
  attempt_number allocate_attempt_number(std::uint32_t task);
  /// A new attempt, which is not stored yet.
  void place_attempt(std::uint32_t task, attempt_number number, const machine_name& machine,
                     worker_incarnation incarnation);
  /// The attempt has exited, or is proven gone.
  void remove_attempt(std::uint32_t task) { attempts_.erase(task); }
  /// Attempts that were read from the store belong to this term's leader from now on.
  void adopt_attempts();
  /// Its start goes out with the answer to the heartbeat with that sequence number.
  void mark_sent(std::uint32_t task, std::uint64_t heartbeat);
  /// Its worker lists it in that phase.
  void update_phase(std::uint32_t task, attempt_phase phase, time_point now);
  void mark_stopping(std::uint32_t task, duration grace);
  /// A member has waited in vain for the rest of its gang; returns how many have in this attempt.
  std::uint32_t count_gang_wait_timeout() { return ++gang_wait_timeouts_; }
  /// Nothing of the gang's attempt is left: the next one has a number of its own.
  void reset_gang_attempt();
  /// The task succeeded, and with it all tasks of a gang. Its failures are forgotten.
  void finish_task(std::uint32_t task);

  // Failures:

  /// A task failed on that machine. Sets the job's back-off.
  failure_verdict record_failure(const machine_name& machine, time_point now,
                                 const failure_policy& policy);
  /// The machines it failed on may be tried again.
  void clear_failures();
  /// Nothing of it is placed until then.
  void back_off_until(time_point when) { not_before_ = when; }

  // Writing it:

  /// Counts a change of a unit.
  void note_change(std::size_t unit);
  /// The attempt is stored once the latest change of its unit is.
  void tie_attempt_to_latest_change(std::uint32_t task);
  /// The placement log holds the attempt that came with that change of its unit. Returns false if
  /// another one, or none, is there by now.
  bool mark_logged(std::uint32_t task, std::uint64_t change);
  /// The key of a unit has this version.
  void set_version(std::size_t unit, store_revision version) { units_[unit].version = version; }
  /// The store holds all changes of a unit up to that one.
  void mark_stored(std::size_t unit, std::uint64_t change);
  /// A write that ends the job was sent.
  void note_end_write(end_write sent) { end_write_sent_ = std::max(end_write_sent_, sent); }
  /// Its end is stored, and may be told.
  void mark_end_stored(const terminal_state& end) { stored_terminal_state_ = end; }
  /// From now on only its final record remains to be written.
  void start_finalizing() { is_finalizing_ = true; }

  // Reading its records:

  void restore_ready_time(std::int64_t ready_ms) { ready_ms_ = ready_ms; }
  /// The number that the unit's next attempt gets at least.
  void restore_next_attempt(std::size_t unit, attempt_number number) {
    units_[unit].next_attempt = number;
  }
  /// The newest change of a unit is that one, and it is stored.
  void restore_change(std::size_t unit, std::uint64_t change);
  void restore_done(std::uint32_t first, std::uint32_t last) { done_.insert_range(first, last); }
  /// An attempt of an earlier leader.
  void restore_attempt(std::uint32_t task, const attempt& stored);
  /// An attempt of an earlier leader that the placement log holds, and its unit's record doesn't.
  void restore_logged_attempt(std::uint32_t task, const attempt& logged);
  /// It is over, as its head says.
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
  std::uint32_t unit_tasks_;
  std::vector<record_unit> units_;  // [0] the head; parts follow for large jobs
  std::optional<terminal_state> stored_terminal_state_;
  end_write end_write_sent_ = end_write::none;
  bool is_finalizing_ = false;
  std::map<machine_name, std::uint32_t> failures_by_machine_;
  time_point last_failure_time_{};
  std::uint32_t backoff_rounds_ = 0;
  time_point not_before_{};
  attempt_number gang_attempt_;  // of the gang's attempt under way
  bool gang_started_ = false;
  std::uint32_t gang_wait_timeouts_ = 0;  // members of that attempt that waited in vain
  std::shared_ptr<const admission::job_view> view_;
};

}  // namespace gingerdrift::job_store
