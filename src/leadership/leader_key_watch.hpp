#pragma once

#include <functional>
#include <string>

#include "base/callback_guard.hpp"
#include "kvstore/client.hpp"

namespace gingerdrift::leadership {

/// Waits for changes of the leader key, which may stay unchanged for hours. The store keeps only
/// its latest changes, of whatever key; it refuses a watch from an older revision at once. So a
/// watch continues from the revision of the previous answer, not from the version of the key. Must
/// be used on the runtime's thread.
class leader_key_watch {
 public:
  /// How a wait ended.
  enum class outcome : std::uint8_t {
    changed,    // the key has changed since it was read
    unchanged,  // the wait timed out or failed
    compacted,  // the watch's revision was too old; the next wait starts from a current one
  };
  /// Receives the outcome. The key has to be read again before the next wait.
  using done_fn = std::function<void(outcome)>;
  leader_key_watch(kvstore::client& store, std::string key);

  /// Waits until the key changes after it was read with this version, at most for some seconds.
  void wait(store_revision version, done_fn done);

 private:
  void handle_changes(const kvstore::result& changes, const done_fn& done);
  void update_revision(done_fn done);

  kvstore::client& store_;
  const std::string key_;
  store_revision revision_;  // of the store, before the key was last read
  callback_guard guard_;
};

}  // namespace gingerdrift::leadership
