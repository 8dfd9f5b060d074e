#include "leadership/leader_elector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace gingerdrift::leadership {

const char* const leader_key = "gd/leader";

namespace {
const char* const token_key = "gd/token";
/// Least delay before a failed request is repeated. A random delay of up to the same length is
/// added, so that the candidates do not all campaign at the same moment.
constexpr auto fetch_retry_delay = milliseconds(200);
/// How often the leader key is read while this node backs off and no other node has become leader.
constexpr auto back_off_poll_period = milliseconds(300);
/// Delay before a renewal that the store refused with 429 (rate limit exceeded) is repeated. After
/// a failover, thousands of workers and users turn to the new leader at once; the load must not
/// make it lose the lease that it has just acquired.
constexpr auto throttled_renewal_retry_delay = milliseconds(200);
/// Relative allowance for clock drift: the steady clocks of two machines drift apart by 0.05% at
/// most; the rest and `lease_margin` allow for timers that fire late.
constexpr double clock_drift_allowance = 0.001;
constexpr auto lease_margin = milliseconds(100);
/// Number of renewals that are sent during one lease duration.
constexpr int renewals_per_lease = 5;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
}  // namespace

leader_elector::leader_elector(net::runtime& runtime, kvstore::client& store, options options,
                               std::uint64_t seed, callbacks owner_callbacks)
    : runtime_(runtime),
      store_(store),
      options_(std::move(options)),
      callbacks_(std::move(owner_callbacks)),
      random_(seed),
      watch_(store, leader_key),
      incarnation_(std::to_string(random_())),
      fetch_timer_(runtime),
      renewal_timer_(runtime),
      retry_timer_(runtime) {}

duration leader_elector::jitter(duration max_delay) {
  std::uniform_real_distribution<double> spread(0.0, to_seconds(max_delay));
  return from_seconds(spread(random_));
}

duration leader_elector::retry_delay() { return fetch_retry_delay + jitter(fetch_retry_delay); }

void leader_elector::start() { fetch_leader(); }

bool leader_elector::lease_valid() const {
  return is_leader_ && runtime_.now() < lease_valid_until_;
}

bool leader_elector::may_renew_worker_leases() const {
  return is_leader_ && runtime_.now() < lease_valid_until_ + options_.renewal_grace;
}

void leader_elector::fetch_leader_after(duration delay) {
  fetch_timer_.start(delay, [this] { fetch_leader(); });
}

void leader_elector::fetch_leader() {
  if (is_leader_) return;
  store_.get(leader_key,
             guard_.wrap([this](const kvstore::result& answer) { leader_fetched(answer); }));
}

void leader_elector::leader_fetched(const kvstore::result& answer) {
  if (is_leader_) return;
  if (answer.status == status_not_found) {
    leader_.node = {};
    if (runtime_.now() < back_off_until_) {
      fetch_leader_after(back_off_poll_period);
    } else {
      campaign(store_revision());
    }
  } else if (!answer.ok() || answer.entries.empty()) {
    fetch_leader_after(retry_delay());
  } else {
    handle_leader_record(answer.entries.front());
  }
}

void leader_elector::handle_leader_record(const kvstore::entry& record) {
  const auto incarnation = update_known_leader(record.value);
  if (!incarnation || leader_.node != options_.node) {
    watch_leader(record.version);
    return;
  }
  leader_.node = {};
  if (*incarnation != incarnation_) {
    // A former process of this node wrote the key. That process has ended, since a node runs only
    // one. Overwriting the key at once avoids waiting for its lease to expire.
    campaign(record.version);
  } else {
    // The store applied a campaign of this process after the request had already timed out. The
    // lease of that campaign is not renewed, so the key disappears when the lease expires.
    fetch_leader_after(fetch_retry_delay);
  }
}

/// Updates the known leader from the value of the leader key. Returns the incarnation of the
/// process that wrote it, or nothing if the value is malformed.
std::optional<std::string> leader_elector::update_known_leader(const kvstore::json& record) {
  try {
    leader_.node = node_name(record.at("node").get<std::string>());
    leader_.token = fencing_token(record.at("token").get<std::uint64_t>());
    return record.at("incarnation").get<std::string>();
  } catch (const std::exception& error) {
    spdlog::error("record_malformed kind=leader error=\"{}\"", error.what());
    return std::nullopt;
  }
}

void leader_elector::watch_leader(store_revision version) {
  watch_.wait(version, [this](leader_key_watch::outcome outcome) {
    if (!is_leader_) fetch_leader_after(delay_after(outcome));
  });
}

/// Returns the delay before the key is read again. A reported change may already be outdated.
duration leader_elector::delay_after(leader_key_watch::outcome outcome) {
  if (outcome == leader_key_watch::outcome::changed) return jitter(milliseconds(30));
  if (outcome == leader_key_watch::outcome::compacted) return retry_delay();
  return milliseconds(50) + jitter(milliseconds(100));
}

/// Starts an attempt to become leader by acquiring a lease. `expected_leader_version` is the
/// version of an outdated leader key that may be overwritten, or 0 if the key has to be absent.
void leader_elector::campaign(store_revision expected_leader_version) {
  store_.grant(options_.lease_duration,
               guard_.wrap([this, expected_leader_version](const kvstore::result& granted) {
                 if (is_leader_) return;
                 if (granted.ok() && granted.lease != 0) {
                   fetch_token(granted.lease, granted.sent, expected_leader_version);
                 } else {
                   fetch_leader_after(retry_delay());
                 }
               }));
}

void leader_elector::fetch_token(std::uint64_t lease_id, time_point lease_requested_at,
                                 store_revision expected_leader_version) {
  const auto token_fetched = [this, lease_id, lease_requested_at,
                              expected_leader_version](const kvstore::result& current) {
    if (is_leader_) return;
    leadership_claim claim = {.lease_id = lease_id,
                              .lease_requested_at = lease_requested_at,
                              .expected_leader_version = expected_leader_version,
                              .token = fencing_token(1),
                              .expected_token_version = {}};
    if (current.ok() && !current.entries.empty()) {
      const auto& record = current.entries.front();
      claim.token = fencing_token(kvstore::number_field(record.value, "token")).next();
      claim.expected_token_version = record.version;
    } else if (current.status != status_not_found) {
      release_lease(lease_id);
      fetch_leader_after(retry_delay());
      return;
    }
    acquire_leadership(claim);
  };
  store_.get(token_key, guard_.wrap(token_fetched));
}

void leader_elector::acquire_leadership(const leadership_claim& claim) {
  const kvstore::json record = {
      {"node", options_.node.str()}, {"token", claim.token.value()}, {"incarnation", incarnation_}};
  store_.txn(
      {{leader_key, claim.expected_leader_version}, {token_key, claim.expected_token_version}},
      {{leader_key, record, claim.lease_id, false},
       {token_key, {{"token", claim.token.value()}}, 0, false}},
      guard_.wrap([this, claim](const kvstore::result& answer) {
        if (is_leader_) return;
        if (answer.ok()) {
          become_leader(claim, answer.revision);
          return;
        }
        // If the request timed out, the store may still apply it. Once the lease is released,
        // the transaction is refused or its leader key is deleted.
        release_lease(claim.lease_id);
        fetch_leader_after(milliseconds(50) + jitter(milliseconds(150)));
      }));
}

void leader_elector::become_leader(const leadership_claim& claim, store_revision leader_version) {
  is_leader_ = true;
  ++term_count_;
  token_ = claim.token;
  lease_id_ = claim.lease_id;
  leader_ = {options_.node, token_};
  lease_valid_until_ = lease_end(claim.lease_requested_at);
  spdlog::info("leader_elected term={} lease={}", token_, lease_id_);
  schedule_renewal();
  callbacks_.elected(token_, {leader_key, leader_version});
}

void leader_elector::release_lease(std::uint64_t lease_id) {
  store_.drop(lease_id, [](const kvstore::result&) {});
}

/// Returns the time until which a lease is certain to be held if the request that granted or
/// renewed it was sent at `requested_at`.
time_point leader_elector::lease_end(time_point requested_at) const {
  return requested_at +
         from_seconds(to_seconds(options_.lease_duration) * (1 - clock_drift_allowance)) -
         lease_margin;
}

void leader_elector::schedule_renewal() {
  const duration period = options_.lease_duration / renewals_per_lease;
  renewal_timer_.start(period, [this, period] {
    if (!may_renew_worker_leases()) {
      step_down(step_down_reason::store_unreachable);
      return;
    }
    renew(period * 2);
    schedule_renewal();
  });
}

void leader_elector::renew(duration deadline) {
  store_.renew(lease_id_, deadline,
               guard_.wrap([this, deadline, term = term_count_](const kvstore::result& answer) {
                 if (is_leader_ && term == term_count_) renewal_answered(answer, deadline);
               }));
}

void leader_elector::renewal_answered(const kvstore::result& answer, duration deadline) {
  if (answer.ok()) return extend_lease(answer.sent);
  if (answer.status == status_not_found) return step_down(step_down_reason::lease_expired);
  if (lease_valid())
    spdlog::info("leader_lease_not_renewed term={} status={}", token_, answer.status);
  if (answer.status != status_too_many_requests || retry_timer_.armed()) return;
  retry_timer_.start(throttled_renewal_retry_delay, [this, deadline] { renew(deadline); });
}

/// Extends the lease after a successful renewal that was sent at `requested_at`.
void leader_elector::extend_lease(time_point requested_at) {
  const bool was_valid = lease_valid();
  lease_valid_until_ = std::max(lease_valid_until_, lease_end(requested_at));
  if (!was_valid && lease_valid()) spdlog::info("leader_lease_recovered term={}", token_);
}

void leader_elector::handle_leader_key_loss() { step_down(step_down_reason::leader_key_lost); }

void leader_elector::observe_leader(const node_name& node, fencing_token token) {
  if (node == options_.node) return;
  if (is_leader_) {
    if (token <= token_) return;
    step_down(step_down_reason::successor_known);
  } else if (token <= leader_.token) {
    return;
  }
  leader_ = {node, token};
}

void leader_elector::yield_leadership(duration back_off) {
  if (!is_leader_) return;
  back_off_until_ = runtime_.now() + back_off;
  release_lease(lease_id_);
  step_down(step_down_reason::unreachable_for_workers);
}

void leader_elector::step_down(step_down_reason reason) {
  if (!is_leader_) return;
  spdlog::info("leader_stepped_down term={} reason={}", token_, log_value(reason));
  is_leader_ = false;
  leader_.node = {};
  renewal_timer_.cancel();
  retry_timer_.cancel();
  callbacks_.stepped_down();
  fetch_leader_after(milliseconds(50) + jitter(milliseconds(150)));
}

const char* leader_elector::log_value(step_down_reason reason) {
  switch (reason) {
    case step_down_reason::store_unreachable:
      return "store_out_of_reach";
    case step_down_reason::lease_expired:
      return "lease_expired";
    case step_down_reason::leader_key_lost:
      return "leader_key_lost";
    case step_down_reason::successor_known:
      return "successor_seen_by_peer";
    case step_down_reason::unreachable_for_workers:
      break;
  }
  return "unreachable_for_workers";
}

}  // namespace gingerdrift::leadership
