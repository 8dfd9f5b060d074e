#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "net/transport.hpp"

namespace gingerdrift::net {

/// A timer of a runtime that is cancelled by its destructor. At most one action is pending;
/// starting the timer again replaces it. Must be used on the runtime's thread.
class timer {
 public:
  explicit timer(runtime& runtime) : runtime_(runtime) {}
  ~timer() { cancel(); }
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;

  /// Runs `action` after `delay`. The action may start the timer again.
  void start(duration delay, std::function<void()> action) {
    cancel();
    id_ = runtime_.after(delay, [this, action = std::move(action)] {
      id_.reset();
      action();
    });
  }
  /// Cancels the pending action, if any.
  void cancel() {
    if (id_) runtime_.cancel(*std::exchange(id_, std::nullopt));
  }
  /// Reports whether an action is pending.
  bool armed() const { return id_.has_value(); }

 private:
  runtime& runtime_;
  std::optional<timer_id> id_;  // identifies the pending action
};

}  // namespace gingerdrift::net
