#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/callback_guard.hpp"
#include "kvstore/client.hpp"

namespace gingerdrift::workers {

/// Returns the key under which a lease delegate records whether it is active. The leader reads
/// these records before it treats any worker lease as expired.
std::string delegate_key(const node_name& node);
/// Common prefix of the keys of all delegates' records.
extern const char* const delegate_key_prefix;

/// Field names of a delegate's record.
namespace delegation_field {
/// Whether the delegate may answer workers of its zone.
inline constexpr const char* active = "active";
/// Token of the leader, present only while the delegate is active.
inline constexpr const char* token = "token";
/// Zone of the delegate.
inline constexpr const char* zone = "zone";
}  // namespace delegation_field

/// Maintains the record in the store that says whether this controller is active as a lease
/// delegate. The controller may answer workers only while the record says so.
class delegation_record {
 public:
  /// `node` and `zone` are those of this controller. A previous process of this node may have left
  /// a record in the store.
  delegation_record(kvstore::client& store, node_name node, zone_name zone);

  /// Returns the token of the latest leader that the store confirmed.
  fencing_token token() const { return token_; }
  /// Reports whether the stored record is known to be active, so that this delegate may answer
  /// workers.
  bool is_active() const { return state_ == state::active; }
  /// Reports whether the stored record may be active, be it from a previous process or by a write
  /// that was not answered.
  bool may_be_active() const { return state_ != state::inactive; }

  /// Takes over the token of the leader that the store confirmed. Writes an active record, unless
  /// the record is active already or a write is in progress. The write succeeds only if the leader
  /// key still has version `leader_version`. `written` runs after the write, whether it succeeded
  /// or not; it does not run if nothing was written.
  void activate(fencing_token token, store_revision leader_version, std::function<void()> written);
  /// Writes an inactive record, unless a write is in progress. To be called as soon as the delegate
  /// is no longer needed: an active record keeps the leader from expiring leases.
  void deactivate();

 private:
  enum class state : std::uint8_t {
    inactive,
    possibly_active,  // a write failed or was not answered, or a previous process left a record
    activating,       // the write of the active record is in progress
    active,
    deactivating,  // the write of the inactive record is in progress
  };
  bool write_in_progress() const {
    return state_ == state::activating || state_ == state::deactivating;
  }
  void write(std::vector<kvstore::condition> conditions, kvstore::json value,
             std::function<void(bool stored)> done);

  kvstore::client& store_;
  node_name node_;
  zone_name zone_;
  fencing_token token_;
  state state_ = state::possibly_active;
  callback_guard guard_;
};

}  // namespace gingerdrift::workers
