#include "workers/delegation_record.hpp"

#include <spdlog/spdlog.h>

#include "leadership/leader_elector.hpp"

namespace gingerdrift::workers {

namespace {
constexpr int status_not_found = 404;
}  // namespace

const char* const delegate_key_prefix = "gd/deputy/";
std::string delegate_key(const node_name& node) { return delegate_key_prefix + node.str(); }

delegation_record::delegation_record(kvstore::client& store, node_name node, zone_name zone)
    : store_(store), node_(std::move(node)), zone_(std::move(zone)) {}

/// An active record is not written again when the leader changes, since the new leader reads the
/// existing one. The delegate can't answer workers until such a write completes. When it was
/// written again, half a zone lost its leases after the leader had crashed while the zone was cut
/// off: nobody answered the workers during the first second of the successor's term.
void delegation_record::activate(fencing_token token, store_revision leader_version,
                                 std::function<void()> written) {
  token_ = token;
  if (state_ == state::active || write_in_progress()) return;
  state_ = state::activating;
  write({{leadership::leader_key, leader_version}},
        {{delegation_field::active, true},
         {delegation_field::token, token.value()},
         {delegation_field::zone, zone_.str()}},
        [this, token, written = std::move(written)](bool stored) {
          const bool token_unchanged = token == token_;
          state_ = stored && token_unchanged ? state::active : state::possibly_active;
          if (is_active()) spdlog::info("lease_delegate_active zone={} term={}", zone_, token_);
          written();
        });
}

void delegation_record::deactivate() {
  if (write_in_progress()) return;
  state_ = state::deactivating;
  write({}, {{delegation_field::active, false}, {delegation_field::zone, zone_.str()}},
        [this](bool stored) { state_ = stored ? state::inactive : state::possibly_active; });
}

/// Every write is conditional on the record's current version. Otherwise a write that timed out
/// could be applied after a later one, and the record could be inactive while this delegate is
/// active.
void delegation_record::write(std::vector<kvstore::condition> conditions, kvstore::json value,
                              std::function<void(bool stored)> done) {
  const std::string key = delegate_key(node_);
  store_.get(
      key, guard_.wrap([this, key, conditions = std::move(conditions), value = std::move(value),
                        done = std::move(done)](const kvstore::result& current) mutable {
        if (!current.ok() && current.status != status_not_found) return done(false);
        conditions.push_back(
            {key, current.entries.empty() ? store_revision() : current.entries.front().version});
        store_.txn(conditions, {{key, std::move(value), 0, false}},
                   guard_.wrap([done = std::move(done)](const kvstore::result& answer) {
                     done(answer.ok());
                   }));
      }));
}

}  // namespace gingerdrift::workers
