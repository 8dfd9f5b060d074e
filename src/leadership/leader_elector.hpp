#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "base/callback_guard.hpp"
#include "base/ids.hpp"
#include "kvstore/client.hpp"
#include "leadership/leader_key_watch.hpp"
#include "net/timer.hpp"

namespace gingerdrift::leadership {

/// Store key that names the current leader. The key is attached to the leader's lease, so the store
/// deletes it when that lease ends.
extern const char* const leader_key;

/// The leader as far as this controller knows, whether that is itself or another controller.
struct known_leader {
  node_name node;  // empty if no leader is known
  fencing_token token;
};

/// Settings of a `leader_elector`.
struct options {
  node_name node;  // this controller
  duration lease_duration = seconds(4);
  /// How long a leader that can't reach the store may still renew workers' leases after its own
  /// lease has ended. A longer time would let a task run past the moment by which a cancellation
  /// accepted by a successor has to be carried out.
  duration renewal_grace = seconds(10);
};

/// Takes part in leader elections and maintains the leader's lease while this controller leads.
///
/// The leader is the controller whose name is stored under `leader_key`, which is attached to a
/// lease of the store. The transaction that writes the key also increments the fencing token, so
/// each leader has a higher token than the one before. A lease is counted from the moment at which
/// its grant or renewal was sent, with an allowance for clock drift, so `lease_valid()` is never
/// true on two controllers at once. Not thread-safe: all calls and callbacks run on the thread of
/// the runtime.
class leader_elector {
 public:
  /// Notifications to the owner.
  struct callbacks {
    /// This node has become leader. `token` is the fencing token of the new term; `leader` is the
    /// condition on the leader key that every transaction of the term has to include.
    std::function<void(fencing_token token, kvstore::condition leader)> elected;
    /// This node has ceased to be leader.
    std::function<void()> stepped_down;
  };
  /// `seed` initializes the generator of random delays and of this process's incarnation
  /// identifier.
  leader_elector(net::runtime& runtime, kvstore::client& store, options options, std::uint64_t seed,
                 callbacks owner_callbacks);
  leader_elector(const leader_elector&) = delete;
  leader_elector& operator=(const leader_elector&) = delete;

  /// Starts to follow the leader key and to campaign whenever there is no leader. Must be called
  /// only once.
  void start();
  /// Reports whether this node is leader and its lease is certain not to have expired. Only then
  /// may it answer requests from memory and start tasks.
  bool lease_valid() const;
  /// Reports whether this node is leader and may renew workers' leases: its own lease is valid or
  /// ended at most `options::renewal_grace` ago.
  bool may_renew_worker_leases() const;
  /// Reports whether this node is leader, even if its lease may have expired.
  bool is_leader() const { return is_leader_; }
  /// Returns the fencing token of this process's current term, or of its last one.
  fencing_token token() const { return token_; }
  /// Returns the leader as last read from the store or reported by a peer.
  const known_leader& leader() const { return leader_; }
  /// Steps down because workers can't reach this node, and does not campaign again for `back_off`.
  void yield_leadership(duration back_off);
  /// Steps down because a transaction showed that the leader key belongs to another controller.
  void handle_leader_key_loss();
  /// Records a leader reported by a peer if its token is newer than that of the leader known here.
  /// A leader that has lost its connection to the store, but not to its peers, learns of its
  /// successor in this way: it steps down and redirects workers to the successor instead of
  /// continuing to answer them.
  void observe_leader(const node_name& node, fencing_token token);

 private:
  enum class step_down_reason : std::uint8_t {
    store_unreachable,
    lease_expired,
    leader_key_lost,
    successor_known,
    unreachable_for_workers,
  };
  static const char* log_value(step_down_reason reason);

  void fetch_leader();
  void fetch_leader_after(duration delay);
  void leader_fetched(const kvstore::result& answer);
  void handle_leader_record(const kvstore::entry& record);
  std::optional<std::string> update_known_leader(const kvstore::json& record);
  void watch_leader(store_revision version);
  duration delay_after(leader_key_watch::outcome outcome);
  void campaign(store_revision expected_leader_version);
  void fetch_token(std::uint64_t lease_id, time_point lease_requested_at,
                   store_revision expected_leader_version);
  /// Contents and preconditions of the transaction that makes this node leader.
  struct leadership_claim {
    std::uint64_t lease_id = 0;
    time_point lease_requested_at;           // when the request for the lease was sent
    store_revision expected_leader_version;  // of the leader key; 0 if the key must not exist
    fencing_token token;                     // fencing token of the new term
    store_revision expected_token_version;   // of the token key; 0 if the key must not exist
  };
  void acquire_leadership(const leadership_claim& claim);
  void become_leader(const leadership_claim& claim, store_revision leader_version);
  void release_lease(std::uint64_t lease_id);
  time_point lease_end(time_point requested_at) const;
  void schedule_renewal();
  void renew(duration deadline);
  void renewal_answered(const kvstore::result& answer, duration deadline);
  void extend_lease(time_point requested_at);
  void step_down(step_down_reason reason);
  duration jitter(duration max_delay);
  duration retry_delay();

  net::runtime& runtime_;
  kvstore::client& store_;
  options options_;
  callbacks callbacks_;
  std::mt19937_64 random_;
  leader_key_watch watch_;
  std::string incarnation_;  // random identifier of this process
  known_leader leader_;
  bool is_leader_ = false;
  fencing_token token_;
  std::uint64_t lease_id_ = 0;
  time_point lease_valid_until_{};
  time_point back_off_until_{};   // before this time an absent leader key is left to other nodes
  std::uint64_t term_count_ = 0;  // terms led by this process; identifies outdated renewal answers
  net::timer fetch_timer_;
  net::timer renewal_timer_;
  net::timer retry_timer_;
  callback_guard guard_;
};

}  // namespace gingerdrift::leadership
