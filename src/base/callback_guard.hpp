#pragma once

#include <memory>
#include <utility>
#include <variant>

namespace gingerdrift {

/// Prevents callbacks from running after the object that they refer to has been destroyed.
///
/// An object that gives callbacks to others declares a guard as its last member, so that the guard
/// is destroyed first, and passes each callback through wrap(). A destructor that itself calls
/// other objects must call revoke() first. Must be used on a single thread.
class callback_guard {
 public:
  /// A token that reports whether the guard, and therefore its owner, still exists.
  class liveness_token {
   public:
    /// Returns false once the guard has been destroyed or revoked.
    bool alive() const { return !owner_.expired(); }

   private:
    friend class callback_guard;
    explicit liveness_token(const std::shared_ptr<const std::monostate>& owner) : owner_(owner) {}
    std::weak_ptr<const std::monostate> owner_;
  };

  callback_guard() = default;
  ~callback_guard() = default;
  callback_guard(const callback_guard&) = delete;
  callback_guard& operator=(const callback_guard&) = delete;

  /// Returns a callback that runs `action`, and does nothing once the guard has been destroyed or
  /// revoked.
  template <typename callback>
  auto wrap(callback action) const {
    return [owner = observe(), action = std::move(action)](auto&&... arguments) mutable {
      if (owner.alive()) action(std::forward<decltype(arguments)>(arguments)...);
    };
  }
  /// Returns a token by which code that calls other objects can check afterwards whether the call
  /// has destroyed the owner.
  liveness_token observe() const { return liveness_token(owner_); }
  /// Disables all wrapped callbacks immediately.
  void revoke() { owner_.reset(); }

 private:
  std::shared_ptr<const std::monostate> owner_ = std::make_shared<const std::monostate>();
};

}  // namespace gingerdrift
