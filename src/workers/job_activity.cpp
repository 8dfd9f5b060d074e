#include "workers/job_activity.hpp"

#include "job_store/job.hpp"

namespace gingerdrift::workers {

namespace {
constexpr int status_not_found = 404;
/// Age at which a status is removed unless it is refreshed.
constexpr duration max_retention = seconds(20);
}  // namespace

job_activity::job_activity(net::runtime& runtime, kvstore::client& store, duration max_age,
                           std::function<void()> on_read)
    : runtime_(runtime), store_(store), max_age_(max_age), on_read_(std::move(on_read)) {}

void job_activity::refresh(const job_id& id) {
  auto& cached = statuses_[id];
  if (is_fresh(cached) && runtime_.now() - cached.requested_at <= max_age_ / 2) return;
  if (cached.read_in_progress) return;
  cached.read_in_progress = true;
  store_.get(job_store::head_key(id), guard_.wrap([this, id](const kvstore::result& answer) {
    on_record_read(id, answer);
  }));
}

void job_activity::on_record_read(const job_id& id, const kvstore::result& answer) {
  auto& cached = statuses_[id];
  cached.read_in_progress = false;
  if (answer.ok() && !answer.entries.empty()) {
    cached.active = kvstore::text_field(answer.entries.front().value, "status") ==
                    job_store::status_name(job_store::job_status::active);
    cached.requested_at = answer.sent;
  } else if (answer.status == status_not_found) {
    cached.active = false;  // the job has ended: its record was moved to the final key
    cached.requested_at = answer.sent;
  }
  on_read_();
}

bool job_activity::is_fresh(const cached_status& cached) const {
  return cached.requested_at != time_point{} && runtime_.now() - cached.requested_at < max_age_;
}

bool job_activity::is_fresh(const job_id& id) const {
  const auto entry = statuses_.find(id);
  return entry != statuses_.end() && is_fresh(entry->second);
}

bool job_activity::is_active(const job_id& id) const {
  const auto entry = statuses_.find(id);
  return entry != statuses_.end() && entry->second.active;
}

void job_activity::evict_stale() {
  const time_point now = runtime_.now();
  std::erase_if(statuses_, [&](const auto& entry) {
    return !entry.second.read_in_progress && now - entry.second.requested_at > max_retention;
  });
}

}  // namespace gingerdrift::workers
