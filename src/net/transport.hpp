#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/time.hpp"

namespace gingerdrift::net {

struct request {
  std::string method;
  std::string target;
  std::string body;
};

/// Status 0 stands for "no answer": a refused or lost connection, a deadline, a broken reply.
struct response {
  int status = 0;
  std::string body;
  std::optional<seconds> retry_after;
  bool close = false;
};

using reply_fn = std::function<void(response)>;
using handler_fn = std::function<void(const request&, reply_fn)>;
using timer_id = std::uint64_t;

/// Clock, timers and outgoing calls. The daemon runs on libuv, the tests in virtual time.
class runtime {
 public:
  virtual ~runtime() = default;
  virtual time_point now() = 0;
  virtual wall_time wall_now() = 0;
  virtual timer_id after(duration delay, std::function<void()> action) = 0;
  virtual void cancel(timer_id id) = 0;
  virtual void call(const std::string& address, request message, duration deadline,
                    reply_fn done) = 0;
};

}  // namespace gingerdrift::net
