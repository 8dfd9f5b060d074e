#pragma once

#include <functional>
#include <map>

#include "base/callback_guard.hpp"
#include "kvstore/client.hpp"
#include "net/transport.hpp"

namespace gingerdrift::workers {

/// Caches whether jobs are active, as read from their records in the store.
class job_activity {
 public:
  /// `max_age`: age at which a cached status is no longer fresh. `on_read` runs after each
  /// read of a record, whether it succeeded or failed.
  job_activity(net::runtime& runtime, kvstore::client& store, duration max_age,
               std::function<void()> on_read);

  /// Reads the job's record if the cached status is older than half of `max_age` and no read
  /// is in progress. Refreshing early spares most answers the wait for a read.
  void refresh(const job_id& id);
  /// Reports whether the cached status of the job is recent enough to be used.
  bool is_fresh(const job_id& id) const;
  /// Reports whether the job was active when its record was last read, however long ago. Returns
  /// false for a job that was never read.
  bool is_active(const job_id& id) const;
  /// Removes statuses whose last successful read was sent more than 20 s ago, unless a read is in
  /// progress.
  void evict_stale();

 private:
  /// Status of one job as last read.
  struct cached_status {
    bool active = false;
    time_point requested_at{};  // when the last successful read was sent
    bool read_in_progress = false;
  };
  bool is_fresh(const cached_status& cached) const;
  void on_record_read(const job_id& id, const kvstore::result& answer);

  net::runtime& runtime_;
  kvstore::client& store_;
  duration max_age_;
  std::function<void()> on_read_;
  std::map<job_id, cached_status> statuses_;
  callback_guard guard_;
};

}  // namespace gingerdrift::workers
