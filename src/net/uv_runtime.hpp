#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <string>

#include "net/address.hpp"
#include "net/client_limits.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/posted_actions.hpp"
#include "net/timer_queue.hpp"
#include "net/transport.hpp"
#include "net/turn_meter.hpp"

namespace gingerdrift::net {

/// Implementation of runtime on libuv: an event loop, its timers and an HTTP client. All members
/// except post() must be used on the thread that runs the loop. All users of the loop must be
/// destroyed before this object.
class uv_runtime final : public runtime {
 public:
  explicit uv_runtime(const client_limits& limits);

  time_point now() override;
  wall_time wall_now() override;
  timer_id after(duration delay, std::function<void()> action) override;
  void cancel(timer_id id) override;
  void call(const std::string& address, request message, duration deadline, reply_fn done) override;

  /// Schedules `action` to run on the loop's thread. Thread-safe.
  void post(std::function<void()> action);
  /// Runs the loop until stop() is called.
  void run();
  /// Makes run() return after the current loop iteration.
  void stop();
  /// Returns the libuv loop, for servers and other direct users of libuv.
  uv_loop_t* loop() { return loop_.get(); }
  /// Makes the loop report the busy time of each turn. Must be called at most once, before run().
  void observe_turns(turn_meter::turn_fn turn_finished);
  /// Returns the number of connections for outgoing calls, including idle ones.
  std::size_t open_client_connections() const { return client_.open_connections(); }

 private:
  // Declared first, and so destroyed last, as all other members have handles on the loop.
  event_loop loop_;
  timer_queue timers_;
  posted_actions posted_actions_;
  http_client client_;
  std::unique_ptr<turn_meter> turn_meter_;
};

}  // namespace gingerdrift::net
