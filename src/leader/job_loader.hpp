#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/callback_guard.hpp"
#include "dependencies/tracker.hpp"
#include "job_store/job_table.hpp"
#include "kvstore/client.hpp"
#include "leader/term_context.hpp"

namespace gingerdrift::leader {

/// Loads jobs from the store into the leader's job table.
///
/// At the start of a term the loader reads all records page by page: job heads, parts of large jobs
/// and the placement log. Afterwards it loads new jobs, which are announced by other controllers; a
/// watch finds those whose announcement was lost. A job that has ended is never loaded again: a
/// head record that was read before its job ended is read once more (docs/design.md, "No older
/// answer").
class job_loader {
 public:
  /// Notifications and queries that the loader sends to the term that owns it.
  struct callbacks {
    /// Called once when all records have been read, before the watch for new jobs starts.
    std::function<void()> recovered;
    /// Called when jobs may have been added to the job table.
    std::function<void()> jobs_changed;
    /// Returns the terminal state of a job if this process has seen it in the store.
    std::function<std::optional<job_store::terminal_state>(const job_id&)> cached_terminal_state;
  };
  job_loader(const term_context& context, kvstore::client& store, callbacks owner_callbacks);

  /// Starts to read all records.
  void start();
  /// Reports whether all records have been read.
  bool is_recovered() const { return recovered_; }
  /// Reads the head record of a job that may be new in the store. Has no effect before all records
  /// have been read.
  void fetch(const job_id& id);
  /// Adds a record to the job table. `read_at`: when the read request was sent to the store.
  void add_record(const kvstore::entry& record, time_point read_at);

 private:
  void read_page(const std::string& prefix, const std::string& after);
  void handle_page(const std::string& prefix, const kvstore::result& page);
  void finish_recovery();
  void add_head(const job_id& id, const kvstore::entry& record, time_point read_at);
  void add_part(const kvstore::entry& record);
  void watch_new_jobs();
  void handle_changes(const kvstore::result& changes);
  void handle_head(const job_id& id, const kvstore::result& head);
  void schedule_fetch(const job_id& id);

  net::runtime& runtime_;
  kvstore::client& store_;
  job_store::job_table& jobs_;
  dependencies::tracker& dependencies_;
  metrics& metrics_;
  callbacks callbacks_;
  std::set<std::string> known_teams_;
  std::vector<kvstore::entry> placement_log_;  // collected until all records have been read
  bool recovered_ = false;
  store_revision watch_revision_;
  std::set<job_id> fetches_in_flight_;
  callback_guard guard_;
};

}  // namespace gingerdrift::leader
