#include "support/sim_net.hpp"

#include <algorithm>
#include <memory>

#include "support/json.hpp"

namespace gingerdrift::testing {

void sim_net::serve(const std::string& host, const std::string& address, net::handler_fn handler) {
  servers_[address] = {.host = host, .handler = std::move(handler)};
}

void sim_net::stop(const std::string& host) {
  if (const auto used = processors_.find(host); used != processors_.end())
    used->second = processor(used->second.times);
  std::erase_if(servers_, [&](const auto& entry) { return entry.second.host == host; });
}

void sim_net::cut(const std::string& a, const std::string& b, duration span, cut_mode mode) {
  ever_held_packets_ = ever_held_packets_ || mode == cut_mode::hold;
  const link_cut new_cut = {.until = now() + span, .mode = mode};
  cuts_[{a, b}] = new_cut;
  cuts_[{b, a}] = new_cut;
}

bool sim_net::is_cut(const std::string& sender, const std::string& receiver) const {
  const auto cut = cuts_.find({sender, receiver});
  return cut != cuts_.end() && now() < cut->second.until;
}

std::optional<time_point> sim_net::arrival(const std::string& sender, const std::string& receiver) {
  if (!is_cut(sender, receiver)) return now() + latency();
  const auto& cut = cuts_.at({sender, receiver});
  if (cut.mode == cut_mode::drop) return std::nullopt;
  return cut.until + latency();
}

void sim_net::call(const std::string& from, const std::string& address, net::request message,
                   duration deadline, net::reply_fn done) {
  if (on_sent) on_sent({.sent = now(), .sender = from, .receiver = address, .request = &message});
  const auto finished = std::make_shared<bool>(false);
  const auto finish = [finished, done = std::move(done)](const net::response& reply) {
    if (*finished) return;
    *finished = true;
    done(reply);
  };
  after(deadline, [finish] { finish({}); });
  const auto target = servers_.find(address);
  const std::string host = target == servers_.end() ? address : target->second.host;
  maybe_copy_late(address, message);
  if (is_mute(from)) return;
  if (is_cut(from, host) && cuts_.at({from, host}).mode == cut_mode::refuse) {
    after(latency(), [finish] { finish(json_response(503, {{"error", "trouble"}})); });
    return;
  }
  const auto arrives = arrival(from, host);
  if (!arrives) return;
  run_at(*arrives + request_delay(host),
         [this, from, host, address, message = std::move(message), finish, finished] {
           expired_arrivals_ += *finished;
           deliver(from, host, address, message, finish);
         });
}

void sim_net::maybe_copy_late(const std::string& address, const net::request& message) {
  if (message.target != late_copies_.path || now() >= late_copies_.until) return;
  if (uniform(0, 1) >= late_copies_.share) return;
  const double delay_s = uniform(1, to_seconds(late_copies_.longest_delay));
  after(from_seconds(delay_s), [this, address, message] {
    if (on_late_copy) on_late_copy(address, message);
    const auto target = servers_.find(address);
    if (target != servers_.end()) target->second.handler(message, [](const net::response&) {});
  });
}

void sim_net::deliver(const std::string& from, const std::string& host, const std::string& address,
                      const net::request& message, const net::reply_fn& finish) {
  if (frozen_until(host) > now()) {
    run_at(frozen_until(host), [this, from, host, address, message, finish] {
      deliver(from, host, address, message, finish);
    });
    return;
  }
  run_on(host, [this, from, host, address, message, finish] {
    handle(from, host, address, message, finish);
  });
}

void sim_net::handle(const std::string& from, const std::string& host, const std::string& address,
                     const net::request& message, const net::reply_fn& finish) {
  const auto target = servers_.find(address);
  if (target == servers_.end()) {
    finish({});  // no server listens at the address: the connection is refused
    return;
  }
  const auto handler = target->second.handler;
  handler(message, [this, from, host, path = message.target, finish](const net::response& reply) {
    if (reply.status == 200) spend_processing_time(host, path);
    if (on_sent) on_sent({.sent = now(), .sender = host, .receiver = from, .response = &reply});
    const auto arrives = arrival(host, from);
    if (arrives) run_at(*arrives + spent_in_turn(host), [finish, reply] { finish(reply); });
  });
}

void sim_net::run_on(const std::string& host, std::function<void()> action) {
  const auto found = processors_.find(host);
  if (found == processors_.end()) return action();
  processor& used = found->second;
  if (used.waiting.empty() && used.busy_until <= now()) {
    action();
    end_turn(used);
    return;
  }
  if (used.waiting.empty()) run_at(used.busy_until, [this, host] { run_next_turn(host); });
  used.waiting.push_back(std::move(action));
}

void sim_net::run_next_turn(const std::string& host) {
  processor& used = processors_.at(host);
  for (const auto& action : std::exchange(used.waiting, {})) action();
  end_turn(used);
}

void sim_net::end_turn(processor& busy) {
  busy.busy_until = now() + std::exchange(busy.spent_in_turn, duration::zero());
}

void sim_net::spend_processing_time(const std::string& host, const std::string& target) {
  const auto used = processors_.find(host);
  if (used == processors_.end()) return;
  const auto time = used->second.times.find(target);
  if (time != used->second.times.end()) used->second.spent_in_turn += time->second;
}

duration sim_net::spent_in_turn(const std::string& host) const {
  const auto used = processors_.find(host);
  return used == processors_.end() ? duration::zero() : used->second.spent_in_turn;
}

wall_time sim_runtime::wall_now() {
  return wall_time(std::chrono::duration_cast<wall_time::duration>(net_.now().time_since_epoch()));
}

net::timer_id sim_runtime::after(duration delay, std::function<void()> action) {
  const auto id = std::make_shared<net::timer_id>(0);
  *id = net_.after(
      net_.spent_in_turn(host_) + delay, guard_.wrap([this, id, action = std::move(action)] {
        const time_point resumes_at = net_.frozen_until(host_);
        if (resumes_at <= net_.now()) return run_timer(*id, action);
        postponed_[*id] =
            net_.run_at(resumes_at, guard_.wrap([this, id, action] { run_timer(*id, action); }));
      }));
  return *id;
}

void sim_runtime::run_timer(net::timer_id id, const std::function<void()>& action) {
  due_.insert(id);
  net_.run_on(host_, guard_.wrap([this, id, action] {
    if (due_.erase(id) != 0) action();
  }));
}

void sim_runtime::cancel(net::timer_id id) {
  due_.erase(id);
  net_.cancel(id);
  if (const auto timer = postponed_.find(id); timer != postponed_.end()) net_.cancel(timer->second);
}

void sim_runtime::call(const std::string& address, net::request message, duration deadline,
                       net::reply_fn done) {
  if (!limits_) return start_call(address, std::move(message), deadline, std::move(done));
  queued_call call{.id = next_call_++,
                   .message = std::move(message),
                   .expires_at = now() + deadline,
                   .done = std::move(done)};
  const call_line& line = lines_[address];
  if (line.active < limits_->concurrent) {
    start_limited_call(address, std::move(call));
  } else if (line.queue.size() < limits_->queued) {
    enqueue_call(address, std::move(call));
  } else {
    after(duration::zero(), [done = std::move(call.done)] { done({}); });
  }
}

void sim_runtime::start_limited_call(const std::string& address, queued_call call) {
  ++lines_[address].active;
  const auto finish = [this, address, done = std::move(call.done)](const net::response& reply) {
    call_line& line = lines_[address];
    --line.active;
    done(reply);
    if (line.queue.empty() || line.active >= limits_->concurrent) return;
    queued_call next = std::move(line.queue.front());
    line.queue.pop_front();
    start_limited_call(address, std::move(next));
  };
  start_call(address, std::move(call.message), call.expires_at - now(), finish);
}

void sim_runtime::enqueue_call(const std::string& address, queued_call call) {
  after(call.expires_at - now(),
        [this, address, id = call.id] { expire_queued_call(address, id); });
  lines_[address].queue.push_back(std::move(call));
}

void sim_runtime::expire_queued_call(const std::string& address, std::uint64_t id) {
  auto& queue = lines_[address].queue;
  const auto expired = std::ranges::find(queue, id, &queued_call::id);
  if (expired == queue.end()) return;
  const net::reply_fn done = std::move(expired->done);
  queue.erase(expired);
  done({});
}

void sim_runtime::start_call(const std::string& address, net::request message, duration deadline,
                             net::reply_fn done) {
  net_.call(host_, address, std::move(message), deadline,
            guard_.wrap([this, done = std::move(done)](const net::response& reply) {
              const time_point resumes_at = net_.frozen_until(host_);
              const auto receive = guard_.wrap([done, reply] { done(reply); });
              if (resumes_at <= net_.now()) return net_.run_on(host_, receive);
              net_.run_at(resumes_at,
                          guard_.wrap([this, receive] { net_.run_on(host_, receive); }));
            }));
}

}  // namespace gingerdrift::testing
