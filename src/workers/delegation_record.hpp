#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/callback_guard.hpp"
#include "kvstore/client.hpp"

namespace gingerdrift::workers {

/// Where a lease delegate says that it acts; the leader reads it before it takes any lease for
/// expired.
std::string delegate_key(const node_name& node);
/// What the keys of all delegates' records begin with.
extern const char* const delegate_key_prefix;

/// The fields of a delegate's record.
namespace delegation_field {
inline constexpr const char* active = "active";  // it may answer workers of its zone
inline constexpr const char* token = "token";    // only while it is active
inline constexpr const char* zone = "zone";
}  // namespace delegation_field

/// A controller's own record of whether it acts as lease delegate, as it stands in the store.
class delegation_record {
 public:
  /// `node`, `zone`: of this controller. Its record may stand from a former process.
  delegation_record(kvstore::client& store, node_name node, zone_name zone);

  /// The token of the latest leader that the store confirmed.
  fencing_token token() const { return token_; }
  /// The record says that this delegate acts: it may answer workers.
  bool is_active() const { return state_ == state::active; }
  /// The record may say so: from a former process, or by an unanswered write.
  bool may_be_active() const { return state_ != state::inactive; }

  /// The store confirmed that leader, by a key of that version. Has the record say that this
  /// delegate acts, if it doesn't yet; `written` runs once that is answered, whatever the answer.
  void activate(fencing_token token, store_revision leader_version, std::function<void()> written);
  /// The record must not say for longer than needed that the delegate acts: it keeps the leader
  /// waiting.
  void deactivate();

 private:
  enum class state : std::uint8_t {
    inactive,
    possibly_active,  // a write was not answered, or a former process left it
    activating,       // the write that says so is under way
    active,
    deactivating,  // the write that takes it back is under way
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
