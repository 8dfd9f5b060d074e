#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/rate_budget.hpp"
#include "kvstore/limits.hpp"
#include "support/json.hpp"
#include "support/sim_net.hpp"

namespace gingerdrift::testing {

/// Stand-in for the key-value store, which the protocol calls the state service: versioned keys,
/// leases, transactions and watches, with rate and size limits, and with the faults that tests
/// inject.
class state_service {
 public:
  state_service(sim_net& net, const std::string& address);
  /// Serves one request, with the faults that are injected at this moment.
  void handle(const net::request& message, const net::reply_fn& reply);

  /// Sets the limits; may be called at any moment. Above the rates, with bursts
  /// of one second's worth, everybody gets 429; larger values and transactions
  /// get 400.
  void set_limits(const kvstore::service_limits& limits);

  // Faults.

  /// Everybody gets 503 for that long; leases have their full time again
  /// afterwards.
  void start_outage(duration span);
  /// Each answer takes about that much longer.
  void slow_down(duration delay, duration span) {
    slower_by_ = delay;
    slow_until_ = net_.now() + span;
  }
  /// This share of transactions gets no answer and is applied 2 s to 12 s
  /// later.
  void delay_transactions(double share, duration span) {
    late_writes_fault_ = {share, net_.now() + span};
  }
  /// This share of transactions is applied at once, and only the answer is
  /// lost.
  void lose_answers(double share, duration span) {
    lost_answers_fault_ = {share, net_.now() + span};
  }
  /// The answer to the next request for this target, made at once, is under way
  /// for that long.
  void hold_next_answer(const std::string& target, duration span) { held_answers_[target] = span; }

  // What happened.

  std::size_t largest_stored_value_bytes() const { return largest_stored_value_bytes_; }  // bytes
  std::size_t largest_transaction_operations() const {
    return largest_transaction_operations_;
  }  // of one transaction
  std::size_t refused_for_size() const { return refused_for_size_; }
  std::size_t refused_for_rate() const { return refused_for_rate_; }
  std::size_t requests_received() const { return requests_received_; }
  std::size_t writes_admitted() const { return writes_admitted_; }
  std::size_t lost_answers() const { return lost_answers_; }  // of transactions that succeeded
  std::size_t late_writes() const { return late_writes_; }    // applied late
  std::size_t late_writes_refused() const {
    return late_writes_refused_;
  }  // of them, by their conditions
  /// The stored value of a key; null if there is none. Valid until the key's
  /// next change.
  const json* peek(const std::string& key) const;
  /// Called before each change; `value` is null where a key is deleted.
  std::function<void(const std::string& key, const json* value)> on_change;

 private:
  struct entry {
    json value;
    std::uint64_t version;
    std::uint64_t lease;  // 0: none
  };
  struct lease_state {
    duration ttl;
    time_point until;
  };
  struct watcher {
    std::string prefix;
    std::uint64_t from;
    net::reply_fn reply;
    std::uint64_t id;
  };
  /// One change in the history that watches read.
  struct change_record {
    std::uint64_t revision;
    std::string key;
    json value;  // null: deleted
  };
  /// A fault that hits a share of the transactions until some moment.
  struct transaction_fault {
    double share = 0;
    time_point until{};
  };
  /// A handler of one path of the protocol.
  struct route {
    std::string_view path;
    bool is_prefix;
    void (state_service::*handle)(const net::request&, const net::reply_fn&);
  };

  bool down() const { return net_.now() < down_until_; }
  bool hits(const transaction_fault& fault, const net::request& message);
  /// Applies a transaction some seconds later, and answers nothing.
  void apply_late(const net::request& message);
  /// Carries a request out at once; its answer comes after the delay.
  void answer_late(const net::request& message, duration delay, const net::reply_fn& reply);
  void expire_leases();
  void change(const std::string& key, const json* value, std::uint64_t lease);
  void notify_watchers();
  json changes(const std::string& prefix, std::uint64_t from) const;

  /// Carries a request out, without injected delays and losses.
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
  std::vector<change_record> history_;
  std::vector<watcher> watchers_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  std::uint64_t next_watch_ = 1;
  time_point down_until_{};
  duration slower_by_{};
  time_point slow_until_{};
  transaction_fault late_writes_fault_;
  transaction_fault lost_answers_fault_;
  std::map<std::string, duration> held_answers_;  // by target
  std::size_t value_bytes_ = std::size_t{1} << 30;
  std::size_t transaction_operations_ = std::size_t{1} << 20;
  rate_budget request_budget_{1e9};
  rate_budget write_budget_{1e9};
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
