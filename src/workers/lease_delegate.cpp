#include "workers/lease_delegate.hpp"

#include <algorithm>

#include "leadership/leader_elector.hpp"

namespace gingerdrift::workers {

namespace {
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr auto check_period = seconds(1);
/// Maximum age of a token confirmation and of a job's status when an answer relies on them. The sum
/// of each and a worker's lease is far below the time allowed for a cancellation.
constexpr auto max_token_age = seconds(2);
constexpr duration max_job_age = seconds(5);
/// How long the answer to a heartbeat may wait for the store.
constexpr auto answer_timeout = milliseconds(1500);
}  // namespace

lease_delegate::lease_delegate(net::runtime& runtime, kvstore::client& store,
                               const settings& delegate_settings, hooks events)
    : runtime_(runtime),
      store_(store),
      node_(delegate_settings.node),
      zone_(delegate_settings.zone),
      events_(std::move(events)),
      record_(store, node_, zone_),
      jobs_(runtime, store, std::min(delegate_settings.max_job_age, max_job_age),
            [this] { answer_pending(); }),
      check_timer_(runtime) {}

void lease_delegate::start() { check_periodically(); }

bool lease_delegate::is_needed() const {
  const auto [leader, reachable] = events_.leader();
  if (leader.empty() || leader == node_ || reachable) return false;
  return events_.zone_of(leader) != zone_;
}

bool lease_delegate::is_delegate_for(const worker_heartbeat& heartbeat) const {
  return is_needed() && heartbeat.pool.zone == zone_;
}

bool lease_delegate::token_confirmed() const {
  return record_.is_active() && runtime_.now() - token_confirmed_at_ < max_token_age;
}

void lease_delegate::handle(worker_heartbeat heartbeat, net::reply_fn reply) {
  pending_.push_back({.heartbeat = std::move(heartbeat),
                      .reply = std::move(reply),
                      .deadline = runtime_.now() + answer_timeout});
  runtime_.after(answer_timeout, guard_.wrap([this] { answer_pending(); }));
  confirm_token();
  for (const auto& task : pending_.back().heartbeat.tasks) jobs_.refresh(task.job);
  answer_pending();
}

void lease_delegate::confirm_token() {
  if (confirmation_in_progress_ || runtime_.now() - token_confirmed_at_ < max_token_age / 2) return;
  confirmation_in_progress_ = true;
  store_.get(leadership::leader_key,
             guard_.wrap([this](const kvstore::result& answer) { on_token_read(answer); }));
}

void lease_delegate::on_token_read(const kvstore::result& answer) {
  confirmation_in_progress_ = false;
  if (answer.ok() && !answer.entries.empty()) {
    const auto& leader = answer.entries.front();
    token_confirmed_at_ = answer.sent;
    record_.activate(fencing_token(kvstore::number_field(leader.value, "token")), leader.version,
                     [this] { answer_pending(); });
  }
  answer_pending();
}

void lease_delegate::answer_pending() {
  struct due_reply {
    net::reply_fn reply;
    net::response answer;
  };
  std::vector<due_reply> due;
  std::vector<pending_answer> still_pending;
  for (auto& pending : pending_) {
    if (auto answer = answer_to(pending)) {
      due.push_back({std::move(pending.reply), std::move(*answer)});
    } else {
      still_pending.push_back(std::move(pending));
    }
  }
  pending_ = std::move(still_pending);
  // Replies may call back into this object, so they run after the list has been updated.
  for (auto& [reply, answer] : due) reply(std::move(answer));
}

/// Returns the answer to a heartbeat, or nullopt while it still has to wait for the store.
std::optional<net::response> lease_delegate::answer_to(const pending_answer& pending) const {
  bool confirmed = token_confirmed();
  std::vector<command> commands;
  for (const auto& task : pending.heartbeat.tasks) {
    confirmed = confirmed && jobs_.is_fresh(task.job);
    if (!jobs_.is_active(task.job) && task.phase != job_store::attempt_phase::exited)
      commands.push_back({command_type::stop, task.job, task.task, task.number, {}});
  }
  if (confirmed)
    return net::response{
        .status = status_ok, .body = encode_commands(record_.token(), commands), .retry_after = {}};
  if (runtime_.now() >= pending.deadline)
    return net::response{.status = status_unavailable, .body = "{}", .retry_after = {}};
  return std::nullopt;
}

void lease_delegate::check_periodically() {
  check_timer_.start(check_period, [this] { check_periodically(); });
  const auto [leader, reachable] = events_.leader();
  // Either the delegate is no longer needed, or this process has just started and a previous one
  // may have left an active record.
  const bool not_needed = reachable || leader.empty() || leader == node_;
  if (record_.may_be_active() && pending_.empty() && not_needed) record_.deactivate();
  jobs_.evict_stale();
}

}  // namespace gingerdrift::workers
