#include "workers/worker_table.hpp"

namespace gingerdrift::workers {

namespace {
/// Number of heartbeat intervals without a heartbeat after which a worker is overdue.
constexpr int overdue_intervals = 3;
}  // namespace

void worker::use_image(const std::string& image, double image_gb, double cache_gb) {
  view.reset();
  std::erase_if(images, [&](const auto& cached) { return cached.name == image; });
  images.push_front({image, image_gb});
  double used_gb = 0;
  for (std::size_t i = 0; i < images.size(); ++i) {
    used_gb += images[i].size_gb;
    // The most recently used image is in use and stays, even if it exceeds the cache.
    if (i > 0 && used_gb > cache_gb) {
      images.resize(i);
      break;
    }
  }
}

worker_table::worker_table(net::runtime& runtime, duration heartbeat_interval, fencing_token token)
    : runtime_(runtime), heartbeat_interval_(heartbeat_interval), token_(token) {}

worker* worker_table::find(const machine_name& machine) {
  const auto entry = workers_.find(machine);
  return entry == workers_.end() ? nullptr : &entry->second;
}

worker& worker_table::find_or_add(const machine_name& machine) {
  worker& entry = workers_[machine];
  entry.name = machine;
  return entry;
}

void worker_table::hold(worker& holder, const task_id& task) { holder.attempts.insert(task); }

void worker_table::release(worker& holder, const task_id& task) {
  holder.attempts.erase(task);
  holder.view.reset();
  if (holder.attempts.empty()) holder.idle_since = runtime_.now();
}

bool worker_table::heartbeat_overdue(const worker& candidate) const {
  return !candidate.reported_in_term ||
         runtime_.now() - candidate.last_heartbeat > heartbeat_interval_ * overdue_intervals;
}

/// A worker whose heartbeats do not carry this term's token has not received an answer of this
/// leader: the heartbeat may be a delayed one from an earlier term, or answers may not reach the
/// machine. A machine rented in this term has sent no heartbeats in earlier terms, so it is
/// accepted from its first heartbeat on.
bool worker_table::accepts_tasks(const worker& candidate) const {
  if (heartbeat_overdue(candidate) || candidate.is_unschedulable()) return false;
  if (candidate.runs_unknown_tasks) return false;
  return candidate.token == token_ || candidate.new_in_term;
}

}  // namespace gingerdrift::workers
