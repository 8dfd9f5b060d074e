#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "base/callback_guard.hpp"
#include "job_store/job_table.hpp"

namespace gingerdrift::dependencies {

/// Reads and deletes the parts of dependency lists that are stored under keys of their own because
/// they do not fit into the job's head record.
///
/// A new leader has to read these parts before it knows all dependencies of the job. A part is
/// deleted only once no stored head refers to it: if a later leader found a head whose list is
/// missing, it could never determine the job's dependencies, and could never report the job as
/// either pending or cancelled.
class dependency_lists {
 public:
  using read_complete_fn = std::function<void(const job_id& job)>;
  /// `on_read_complete` is called when all parts of a job's list have been read. The job table has
  /// to outlive this object.
  dependency_lists(net::runtime& runtime, kvstore::client& store, job_store::job_table& jobs,
                   read_complete_fn on_read_complete);
  dependency_lists(const dependency_lists&) = delete;
  dependency_lists& operator=(const dependency_lists&) = delete;

  /// Starts reading the job's list, unless a read is in progress already.
  void read(const job_store::job& job);
  /// Reports whether the job's list is still being read, so that some dependencies are unknown.
  bool is_reading(const job_id& job) const { return pending_reads_.count(job) != 0; }

  /// Detaches the list from a job that no longer waits, and deletes it once a head without it is
  /// stored. The caller has to mark the head as changed afterwards.
  void release(job_store::job& job);
  /// Deletes the job's released list if the stored head no longer refers to it. To be called
  /// whenever changes of the job have been stored.
  void job_stored(const job_id& job);
  /// Deletes the job's released list. To be called once the job's final record is stored and its
  /// head is deleted.
  void job_finalized(const job_id& job);

 private:
  /// The progress of reading a list part by part.
  struct pending_read {
    job_store::dependency_parts parts;
    std::size_t next_part = 0;
    std::uint32_t malformed_reads = 0;  // consecutive reads of this part that found it malformed
  };
  /// A list to be deleted once no stored head refers to it.
  struct released_list {
    job_store::dependency_parts parts;
    std::uint64_t releasing_change = 0;  // the first change of the head without the list
  };
  void read_next_part(const job_id& job);
  void handle_part(const job_id& job, const kvstore::result& result);
  void append_part(job_store::job& job, const kvstore::entry& record);
  void schedule_retry(const job_id& job);
  void delete_parts_from(const job_store::dependency_parts& parts, std::size_t first_part);

  net::runtime& runtime_;
  kvstore::client& store_;
  job_store::job_table& jobs_;
  read_complete_fn on_read_complete_;
  std::map<job_id, pending_read> pending_reads_;
  std::map<job_id, released_list> released_;
  callback_guard guard_;
};

}  // namespace gingerdrift::dependencies
