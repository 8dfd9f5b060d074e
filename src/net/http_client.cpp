#include "net/http_client.hpp"

#include <algorithm>
#include <utility>

#include "net/address.hpp"

namespace gingerdrift::net {

namespace {

/// Number of checks for expired idle connections per idle timeout.
constexpr int checks_per_idle_timeout = 4;

}  // namespace

http_client::http_client(uv_loop_t* loop, timer_queue& timers, const client_limits& limits)
    : timers_(timers), limits_(limits), pool_(loop, limits, *this) {
  close_expired();
}

void http_client::call(const std::string& address, request message, duration deadline,
                       reply_fn done) {
  const call_id id = next_id_++;
  const timer_id timer = timers_.after(deadline, [this, address, id] { fail_call(address, id); });
  dispatch(
      address,
      {.id = id, .message = std::move(message), .done = std::move(done), .deadline_timer = timer});
}

void http_client::dispatch(const std::string& address, pending_call call) {
  if (auto* const idle = pool_.take_idle(address)) {
    send_call(*idle, std::move(call));
    return;
  }
  // Hundreds of machines each get an occasional call, so idle connections to some of them may fill
  // the pool. The one that has been idle for longest is closed to permit a connection to another
  // machine.
  if (pool_.is_full()) pool_.close_longest_idle();
  if (!pool_.can_open(address)) {
    queue_or_refuse(address, std::move(call));
    return;
  }
  const auto server = parse_address(address);
  if (!server) {
    refuse(std::move(call));
    return;
  }
  open_connection(address, *server, std::move(call));
}

void http_client::open_connection(const std::string& address, const sockaddr_in& server,
                                  pending_call call) {
  const call_id id = call.id;
  client_connection& connection = pool_.open(address);
  send_call(connection, std::move(call));
  const auto error = connection.connect(server);
  if (error) {
    // Deferred, as call() must return before `done` runs.
    timers_.after(duration::zero(), [this, address, id] { fail_call(address, id); });
  }
}

void http_client::send_call(client_connection& connection, pending_call call) {
  const auto active = active_.emplace(&connection, std::move(call)).first;
  connection.send(active->second.message);
}

/// If no connection to the address is free or can be opened, the call waits in a bounded queue. It
/// is refused immediately if the queue is full.
void http_client::queue_or_refuse(const std::string& address, pending_call call) {
  auto& queue = queues_[address];
  // A queued call starts when another call to the address ends. Without any connection to the
  // address it would never start.
  if (pool_.size(address) == 0 || queue.size() >= limits_.queued_calls_per_address) {
    refuse(std::move(call));
    return;
  }
  queue.push_back(std::move(call));
}

void http_client::refuse(pending_call call) {
  timers_.cancel(call.deadline_timer);
  timers_.after(duration::zero(), [done = std::move(call.done)] { done({}); });
}

void http_client::on_response(client_connection& connection, response result,
                              connection_persistence persistence) {
  finish_call(connection, std::move(result), persistence);
}

void http_client::on_failure(client_connection& connection) {
  finish_call(connection, {}, connection_persistence::close);
}

void http_client::finish_call(client_connection& connection, response result,
                              connection_persistence persistence) {
  const std::string address = connection.address();
  const auto active = active_.extract(&connection);
  if (active) timers_.cancel(active.mapped().deadline_timer);
  if (persistence == connection_persistence::keep_alive) {
    pool_.put_idle(connection, timer_queue::now());
  } else {
    pool_.close(connection);
  }
  if (active) active.mapped().done(std::move(result));
  start_next_queued(address);
}

void http_client::fail_call(const std::string& address, call_id id) {
  const auto active =
      std::ranges::find_if(active_, [id](const auto& entry) { return entry.second.id == id; });
  if (active != active_.end()) {
    finish_call(*active->first, {}, connection_persistence::close);
  } else {
    fail_queued_call(address, id);
  }
}

void http_client::fail_queued_call(const std::string& address, call_id id) {
  const auto queue = queues_.find(address);
  if (queue == queues_.end()) return;
  const auto call = std::ranges::find(queue->second, id, &pending_call::id);
  if (call == queue->second.end()) return;
  const reply_fn done = std::move(call->done);
  queue->second.erase(call);
  done({});
}

void http_client::start_next_queued(const std::string& address) {
  const auto queue = queues_.find(address);
  if (queue == queues_.end() || queue->second.empty()) return;
  if (!pool_.has_idle(address) && !pool_.can_open(address)) return;
  pending_call call = std::move(queue->second.front());
  queue->second.pop_front();
  dispatch(address, std::move(call));
}

void http_client::close_expired() {
  pool_.close_expired(timer_queue::now());
  std::erase_if(queues_, [](const auto& entry) { return entry.second.empty(); });
  timers_.after(limits_.idle_timeout / checks_per_idle_timeout, [this] { close_expired(); });
}

}  // namespace gingerdrift::net
