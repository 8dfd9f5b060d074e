#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/token_bucket.hpp"
#include "kvstore/limits.hpp"
#include "support/json.hpp"
#include "support/sim_net.hpp"

namespace gingerdrift::testing {

/// Simulates the key-value store, which the protocol calls the state service: versioned keys,
/// leases, transactions and watches, with rate and size limits and with faults that tests inject.
class state_service {
 public:
  state_service(sim_net& net, const std::string& address);
  /// Handles one request, subject to the currently injected faults.
  void handle(const net::request& message, const net::reply_fn& reply);

  /// Sets the limits; can be called at any time. Requests above the rates, which allow bursts of
  /// one second's worth, are answered with 429. Values and transactions above the size limits are
  /// answered with 400.
  void set_limits(const kvstore::service_limits& limits);

  /// Sets how many changes the service keeps for watches. A watch from an older revision is
  /// answered with 410.
  void set_history_length(std::size_t changes) { history_length_ = changes; }

  // Fault injection.

  /// Answers every request with 503 during the given time. All leases are renewed to their full
  /// time to live at its end.
  void start_outage(duration span);
  /// Delays the processing of each request by 50 % to 150 % of `delay`.
  void slow_down(duration delay, duration span) {
    extra_delay_ = delay;
    slow_until_ = net_.now() + span;
  }
  /// Applies a share of the transactions 2 s to 12 s late and without an answer.
  void delay_transactions(double share, duration span) {
    late_writes_fault_ = {share, net_.now() + span};
  }
  /// Applies a share of the transactions at once, but loses their answers.
  void lose_answers(double share, duration span) {
    lost_answers_fault_ = {share, net_.now() + span};
  }
  /// Processes the next request for this target at once, but delivers its answer after the given
  /// time.
  void hold_next_answer(const std::string& target, duration span) { held_answers_[target] = span; }

  // Statistics.

  std::size_t largest_stored_value_bytes() const { return largest_stored_value_bytes_; }
  /// Returns the number of operations of the largest successful transaction.
  std::size_t largest_transaction_operations() const { return largest_transaction_operations_; }
  std::size_t refused_for_size() const { return refused_for_size_; }
  std::size_t refused_for_rate() const { return refused_for_rate_; }
  std::size_t requests_received() const { return requests_received_; }
  std::size_t writes_admitted() const { return writes_admitted_; }
  std::size_t lost_answers() const { return lost_answers_; }  // to successful transactions
  std::size_t late_writes() const { return late_writes_; }    // transactions processed late
  /// Returns how many of the late transactions failed, for example on their conditions.
  std::size_t late_writes_refused() const { return late_writes_refused_; }
  /// Returns the stored value of a key, or null if there is none. The pointer is valid until the
  /// next change of the key.
  const json* peek(const std::string& key) const;
  /// Called before each change of a key; `value` is null for a deletion.
  std::function<void(const std::string& key, const json* value)> on_change;

 private:
  /// A stored value.
  struct entry {
    json value;
    std::uint64_t version;
    std::uint64_t lease;  // 0: none
  };
  /// A lease and its expiry time.
  struct lease_state {
    duration ttl;
    time_point until;
  };
  /// A watch request that waits for changes after the revision `from`.
  struct watcher {
    std::string prefix;
    std::uint64_t from;
    net::reply_fn reply;
    std::uint64_t id;
  };
  /// A change in the history from which watches are answered.
  struct change_record {
    std::uint64_t revision;
    std::string key;
    json value;  // null: deleted
  };
  /// A fault that affects a share of the transactions until a point in time.
  struct transaction_fault {
    double share = 0;
    time_point until{};
  };
  /// Maps a path of the protocol, or a path prefix, to its handler.
  struct route {
    std::string_view path;
    bool is_prefix;
    void (state_service::*handle)(const net::request&, const net::reply_fn&);
  };

  bool is_down() const { return net_.now() < down_until_; }
  bool affects(const transaction_fault& fault, const net::request& message);
  /// Applies a transaction some seconds later and sends no answer.
  void apply_late(const net::request& message);
  /// Processes a request at once and delivers its answer after the delay.
  void answer_late(const net::request& message, duration delay, const net::reply_fn& reply);
  void expire_leases();
  void change(const std::string& key, const json* value, std::uint64_t lease);
  void add_to_history(change_record record);
  void notify_watchers();
  json changes(const std::string& prefix, std::uint64_t from) const;

  /// Processes a request without injected delays and losses.
  void dispatch(const net::request& message, const net::reply_fn& reply);
  void read_key(const net::request& message, const net::reply_fn& reply);
  void list_keys(const net::request& message, const net::reply_fn& reply);
  void transaction(const net::request& message, const net::reply_fn& reply);
  void grant_lease(const net::request& message, const net::reply_fn& reply);
  void renew_or_drop_lease(const net::request& message, const net::reply_fn& reply);
  void watch(const net::request& message, const net::reply_fn& reply);

  json unmet_conditions(const json& body) const;
  bool leases_exist(const json& body) const;
  bool sizes_allowed(const json& body) const;
  void apply(const json& operations);

  sim_net& net_;
  std::map<std::string, entry> entries_;
  std::map<std::uint64_t, lease_state> leases_;
  std::deque<change_record> history_;
  std::size_t history_length_ = 10000;
  std::uint64_t compacted_revision_ = 0;  // of the newest change that is no longer kept
  std::vector<watcher> watchers_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  std::uint64_t next_watch_ = 1;
  time_point down_until_{};
  duration extra_delay_{};
  time_point slow_until_{};
  transaction_fault late_writes_fault_;
  transaction_fault lost_answers_fault_;
  std::map<std::string, duration> held_answers_;  // by target
  std::size_t value_bytes_ = std::size_t{1} << 30;
  std::size_t transaction_operations_ = std::size_t{1} << 20;
  token_bucket request_budget_{1e9};
  token_bucket write_budget_{1e9};
  std::size_t largest_stored_value_bytes_ = 0;
  std::size_t largest_transaction_operations_ = 0;
  std::size_t requests_received_ = 0;
  std::size_t writes_admitted_ = 0;
  std::size_t lost_answers_ = 0;
  std::size_t late_writes_ = 0;
  std::size_t late_writes_refused_ = 0;
  std::size_t refused_for_size_ = 0;
  std::size_t refused_for_rate_ = 0;
};

}  // namespace gingerdrift::testing
