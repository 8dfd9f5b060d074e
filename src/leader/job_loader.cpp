#include "leader/job_loader.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::leader {

namespace {
constexpr auto retry_delay = milliseconds(200);
/// How long the store keeps a watch request open if no key changes.
constexpr auto watch_duration = seconds(10);
/// Delay between the answer to a watch request and the next request. Most new jobs are announced by
/// other controllers, so the watch need not find new jobs immediately.
constexpr auto watch_delay = seconds(1);
/// The store no longer keeps the changes since the revision given in the watch request.
constexpr int status_compacted = 410;
constexpr int status_not_found = 404;

bool has_prefix(const std::string& key, const char* prefix) { return key.rfind(prefix, 0) == 0; }

std::string without_prefix(const std::string& key, const char* prefix) {
  return key.substr(std::string(prefix).size());
}
}  // namespace

job_loader::job_loader(const term_context& context, kvstore::client& store,
                       callbacks owner_callbacks)
    : runtime_(context.runtime),
      store_(store),
      jobs_(context.jobs),
      dependencies_(context.dependencies),
      metrics_(context.controller_metrics),
      callbacks_(std::move(owner_callbacks)) {
  for (const auto& team : context.platform.teams) known_teams_.insert(team.name);
}

void job_loader::start() { read_page(job_store::head_prefix, ""); }

void job_loader::read_page(const std::string& prefix, const std::string& after) {
  store_.list(prefix, after, guard_.wrap([this, prefix, after](const kvstore::result& page) {
    if (page.ok()) {
      handle_page(prefix, page);
      return;
    }
    runtime_.after(retry_delay, guard_.wrap([this, prefix, after] { read_page(prefix, after); }));
  }));
}

void job_loader::handle_page(const std::string& prefix, const kvstore::result& page) {
  const stopwatch watch(metrics_.loop_activities.recovery);
  // The watch starts at the revision of the first page, so it covers all records that are stored
  // after this page was read.
  if (!watch_revision_.exists()) watch_revision_ = page.revision;
  for (const auto& record : page.entries) add_record(record, page.sent);
  if (page.more && !page.entries.empty()) {
    read_page(prefix, page.entries.back().key);
  } else if (recovered_) {
    // The revision of the watch had been compacted, and the heads have been listed again to find
    // the new jobs that were missed. Parts and the placement log are written only by this leader
    // since recovery. Reading them again would restore attempts that have ended since.
    watch_new_jobs();
    callbacks_.jobs_changed();
  } else if (prefix == job_store::head_prefix) {
    read_page(job_store::part_prefix, "");
  } else if (prefix == job_store::part_prefix) {
    read_page(job_store::log_prefix, "");
  } else {
    finish_recovery();
  }
}

void job_loader::finish_recovery() {
  jobs_.load_placements(placement_log_);
  placement_log_.clear();
  recovered_ = true;
  callbacks_.recovered();
  watch_new_jobs();
  callbacks_.jobs_changed();
}

void job_loader::add_record(const kvstore::entry& record, time_point read_at) {
  if (has_prefix(record.key, job_store::log_prefix)) {
    placement_log_.push_back(record);
    return;
  }
  try {
    if (has_prefix(record.key, job_store::head_prefix)) {
      add_head(job_id(without_prefix(record.key, job_store::head_prefix)), record, read_at);
    } else {
      add_part(record);
    }
  } catch (const std::exception& error) {
    spdlog::error("record_malformed key={} error=\"{}\"", record.key, error.what());
  }
}

/// Adds a job to the job table from its head record. Throws if the record is malformed.
void job_loader::add_head(const job_id& id, const kvstore::entry& record, time_point read_at) {
  if (jobs_.find(id) != nullptr || callbacks_.cached_terminal_state(id)) return;
  // A record that was read before the job ended still shows it as unfinished. The cache of terminal
  // states does not prevent this case, because it evicts entries.
  if (jobs_.may_have_ended_since(id, read_at)) {
    schedule_fetch(id);
    return;
  }
  job_store::job job = job_store::decode_head(record.value, record.version);
  if (job.spec().id != id) throw std::invalid_argument("it names another job");
  if (known_teams_.count(job.spec().team) == 0) {
    spdlog::error("job_of_unknown_team job={} team={}", id, job.spec().team);
    return;
  }
  dependencies_.job_added(jobs_.insert(std::move(job)));
}

/// Adds the tasks of a part record to their job. The record's key ends with the job id and the
/// number of the part. Throws if the record is malformed.
void job_loader::add_part(const kvstore::entry& record) {
  const std::string name = without_prefix(record.key, job_store::part_prefix);
  const auto slash = name.rfind('/');
  job_store::job* job = jobs_.find(job_id(name.substr(0, slash)));
  if (job == nullptr || recovered_) return;
  job_store::decode_part(*job, std::stoul(name.substr(slash + 1)), record.value, record.version);
}

void job_loader::watch_new_jobs() {
  store_.watch(job_store::head_prefix, watch_revision_, watch_duration,
               guard_.wrap([this](const kvstore::result& changes) { handle_changes(changes); }));
}

void job_loader::handle_changes(const kvstore::result& changes) {
  if (changes.ok()) {
    watch_revision_ = std::max(watch_revision_, changes.revision);
    for (const auto& change : changes.entries) {
      const bool deleted = change.value.is_discarded();
      if (!deleted) fetch(job_id(without_prefix(change.key, job_store::head_prefix)));
    }
  } else if (changes.status == status_compacted) {
    watch_revision_ = {};
    read_page(job_store::head_prefix, "");
    return;
  }
  runtime_.after(watch_delay, guard_.wrap([this] { watch_new_jobs(); }));
}

void job_loader::fetch(const job_id& id) {
  if (!recovered_ || jobs_.find(id) != nullptr || callbacks_.cached_terminal_state(id)) return;
  const bool is_new = fetches_in_flight_.insert(id).second;
  if (!is_new) return;
  store_.get(job_store::head_key(id),
             guard_.wrap([this, id](const kvstore::result& head) { handle_head(id, head); }));
}

void job_loader::handle_head(const job_id& id, const kvstore::result& head) {
  fetches_in_flight_.erase(id);
  if (head.ok() && !head.entries.empty()) {
    add_record(head.entries.front(), head.sent);
    callbacks_.jobs_changed();
  } else if (head.status != status_not_found) {
    schedule_fetch(id);
  }
}

void job_loader::schedule_fetch(const job_id& id) {
  runtime_.after(retry_delay, guard_.wrap([this, id] { fetch(id); }));
}

}  // namespace gingerdrift::leader
