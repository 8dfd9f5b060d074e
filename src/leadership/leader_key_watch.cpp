#include "leadership/leader_key_watch.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace gingerdrift::leadership {

namespace {
constexpr auto watch_duration = seconds(8);
/// The store no longer keeps the changes since the revision given in the watch request.
constexpr int status_compacted = 410;
}  // namespace

leader_key_watch::leader_key_watch(kvstore::client& store, std::string key)
    : store_(store), key_(std::move(key)) {}

void leader_key_watch::wait(store_revision version, done_fn done) {
  revision_ = std::max(revision_, version);
  store_.watch(key_, revision_, watch_duration,
               guard_.wrap([this, done = std::move(done)](const kvstore::result& changes) {
                 handle_changes(changes, done);
               }));
}

void leader_key_watch::handle_changes(const kvstore::result& changes, const done_fn& done) {
  if (changes.status == status_compacted) {
    spdlog::info("leader_watch_compacted revision={}", revision_);
    return update_revision(done);
  }
  if (!changes.ok()) return done(outcome::unchanged);
  revision_ = std::max(revision_, changes.revision);
  done(changes.entries.empty() ? outcome::unchanged : outcome::changed);
}

void leader_key_watch::update_revision(done_fn done) {
  store_.get_revision(guard_.wrap([this, done = std::move(done)](const kvstore::result& answer) {
    if (answer.ok()) revision_ = std::max(revision_, answer.revision);
    done(outcome::compacted);
  }));
}

}  // namespace gingerdrift::leadership
