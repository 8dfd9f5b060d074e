#pragma once

#include <functional>
#include <map>

#include "base/callback_guard.hpp"
#include "kvstore/client.hpp"
#include "net/transport.hpp"

namespace gingerdrift::workers {

/// Which jobs are active, by recent readings of their records in the store.
class job_activity {
 public:
  /// `max_age`: how old a reading may be when it is used. `on_refreshed`: runs once a reading has
  /// come or failed.
  job_activity(net::runtime& runtime, kvstore::client& store, duration max_age,
               std::function<void()> on_refreshed);

  /// Reads the job's record if the last reading is soon too old, so that most answers need not
  /// wait for one.
  void refresh(const job_id& id);
  /// The reading is young enough to be used.
  bool is_fresh(const job_id& id) const;
  /// By the last reading, however old. A job that was never read is not.
  bool is_active(const job_id& id) const;
  /// Forgets readings that nobody has asked for in a while.
  void evict_stale();

 private:
  struct cached_status {
    bool active = false;
    time_point requested_at{};  // when the store was asked
    bool read_in_progress = false;
  };
  bool is_fresh(const cached_status& cached) const;
  void on_record_read(const job_id& id, const kvstore::result& answer);

  net::runtime& runtime_;
  kvstore::client& store_;
  duration max_age_;
  std::function<void()> on_refreshed_;
  std::map<job_id, cached_status> statuses_;
  callback_guard guard_;
};

}  // namespace gingerdrift::workers
