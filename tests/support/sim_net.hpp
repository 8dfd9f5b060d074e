#pragma once

#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/callback_guard.hpp"
#include "net/transport.hpp"
#include "support/virtual_clock.hpp"

namespace gingerdrift::testing {

/// A request or a response at the time when its sender passes it to the network.
struct sent_message {
  time_point sent;
  const std::string& sender;    // host
  const std::string& receiver;  // address for a request, host for a response
  const net::request* request = nullptr;
  const net::response* response = nullptr;
};

/// A simulated network in virtual time: servers by address, links that have latency and can be cut,
/// and hosts that can be muted or frozen. All randomness of a scenario comes from the generator of
/// this class, so that each seed produces a deterministic sequence of events.
class sim_net {
 public:
  /// How packets on a cut link are treated.
  enum class cut_mode {
    drop,   // packets are lost
    hold,   // packets arrive after the cut ends, even if their sender has given up
    refuse  // requests are answered with 503 at once, as the state service may do to a single
            // controller
  };

  explicit sim_net(std::uint64_t seed) : random(seed) {}

  // Virtual time; see virtual_clock.
  time_point now() const { return clock_.now(); }
  double seconds_now() const { return clock_.seconds_now(); }
  net::timer_id run_at(time_point due, std::function<void()> action) {
    return clock_.run_at(due, std::move(action));
  }
  net::timer_id after(duration delay, std::function<void()> action) {
    return clock_.after(delay, std::move(action));
  }
  void cancel(net::timer_id id) { clock_.cancel(id); }
  void run_for(duration span) { clock_.run_for(span); }

  /// Starts a host's server at an address.
  void serve(const std::string& host, const std::string& address, net::handler_fn handler);
  /// Stops all servers of a host. Callers of a stopped server receive status 0.
  void stop(const std::string& host);
  /// Sends a request from a host. `done` runs exactly once: with the answer, or with status 0 if
  /// the connection is refused or the deadline passes.
  void call(const std::string& from, const std::string& address, net::request message,
            duration deadline, net::reply_fn done);

  /// Cuts the link between two hosts in both directions.
  void cut(const std::string& a, const std::string& b, duration span, cut_mode mode);
  /// Drops packets from `sender` to `receiver`; the other direction is not affected.
  void cut_one_way(const std::string& sender, const std::string& receiver, duration span) {
    cuts_[{sender, receiver}] = {.until = now() + span, .mode = cut_mode::drop};
  }
  bool is_cut(const std::string& sender, const std::string& receiver) const;
  /// Delivers a share of the requests to a path a second time, between 1 s and `longest_delay`
  /// later. The answers to these copies are discarded.
  void copy_late(const std::string& path, double share, duration longest_delay,
                 duration span = std::chrono::hours(24)) {
    late_copies_ = {
        .path = path, .share = share, .longest_delay = longest_delay, .until = now() + span};
  }
  /// Drops all requests that the host sends; requests to the host and its answers still arrive.
  void mute(const std::string& host, duration span) { muted_until_[host] = now() + span; }
  bool is_mute(const std::string& host) const { return end_of(muted_until_, host) > now(); }
  /// Suspends the process of a host while clocks continue. Requests, answers and timers that become
  /// due during the span are processed after it.
  void freeze(const std::string& host, duration span) { frozen_until_[host] = now() + span; }
  time_point frozen_until(const std::string& host) const { return end_of(frozen_until_, host); }

  /// Delays the processing of each request that arrives at the host, as a busy event loop does.
  /// Answers that arrive there are not delayed.
  void delay_requests(const std::string& host, duration delay) { request_delays_[host] = delay; }

  /// Makes each response 200 of the host to a request for `target` take processor time. From then
  /// on the host works in turns, as an event loop does: what arrives or becomes due during a turn
  /// is processed in the next one.
  void set_processing_time(const std::string& host, const std::string& target, duration time) {
    processors_[host].times[target] = time;
  }
  /// Runs an action on the host: now, or in its next turn if its processor is busy.
  void run_on(const std::string& host, std::function<void()> action);
  /// Returns the processor time that the host has spent in its current turn.
  duration spent_in_turn(const std::string& host) const;

  /// Called when a late copy of a request is delivered.
  std::function<void(const std::string& address, const net::request&)> on_late_copy;
  /// Called for every message of the service, its workers, its users and external systems.
  std::function<void(const sent_message&)> on_sent;
  /// Returns the number of requests that arrived after the deadline of their sender.
  std::size_t expired_arrivals() const { return expired_arrivals_; }
  /// Reports whether any link was ever cut with `cut_mode::hold`.
  bool ever_held_packets() const { return ever_held_packets_; }

  std::mt19937_64 random;
  /// Returns a random number from the generator of the scenario.
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  }

 private:
  struct server {
    std::string host;
    net::handler_fn handler;
  };
  /// One direction of the connection between two hosts. Ordered by sender, then receiver.
  struct link {
    std::string sender;
    std::string receiver;
    auto operator<=>(const link&) const = default;
  };
  /// The processor of a host whose requests take processor time.
  struct processor {
    processor() = default;
    explicit processor(std::map<std::string, duration> processing_times)
        : times(std::move(processing_times)) {}
    std::map<std::string, duration> times;       // by target
    duration spent_in_turn{};                    // zero between two turns
    time_point busy_until{};                     // end of the current turn
    std::vector<std::function<void()>> waiting;  // for the next turn
  };
  struct link_cut {
    time_point until;
    cut_mode mode;
  };
  /// Selects the requests that are delivered a second time.
  struct late_copy_rule {
    std::string path;
    double share = 0;
    duration longest_delay{};
    time_point until{};
  };

  static time_point end_of(const std::map<std::string, time_point>& ends, const std::string& host) {
    const auto end = ends.find(host);
    return end == ends.end() ? time_point{} : end->second;
  }
  void maybe_copy_late(const std::string& address, const net::request& message);
  void deliver(const std::string& from, const std::string& host, const std::string& address,
               const net::request& message, const net::reply_fn& finish);
  void handle(const std::string& from, const std::string& host, const std::string& address,
              const net::request& message, const net::reply_fn& finish);
  void run_next_turn(const std::string& host);
  void end_turn(processor& busy);
  void spend_processing_time(const std::string& host, const std::string& target);
  duration latency() { return from_seconds(uniform(0.0005, 0.003)); }
  duration request_delay(const std::string& host) const {
    const auto delay = request_delays_.find(host);
    return delay == request_delays_.end() ? duration::zero() : delay->second;
  }
  /// Returns when a packet sent now arrives, or nullopt if it is lost.
  std::optional<time_point> arrival(const std::string& sender, const std::string& receiver);

  virtual_clock clock_;
  std::map<std::string, server> servers_;  // by address
  std::map<link, link_cut> cuts_;
  late_copy_rule late_copies_;
  std::map<std::string, time_point> muted_until_;
  std::map<std::string, time_point> frozen_until_;
  std::map<std::string, duration> request_delays_;  // by host
  std::map<std::string, processor> processors_;     // by host
  std::size_t expired_arrivals_ = 0;
  bool ever_held_packets_ = false;
};

/// Limits of the calls of a process to one address, like those of net::client_limits.
struct call_limits {
  std::size_t concurrent = 1;
  std::size_t queued = 0;  // calls that wait for another to end; further ones fail at once
};

/// The runtime of a process on a simulated host. Its destruction cancels its timers and discards
/// answers to its calls. Both are deferred while the host is frozen.
class sim_runtime final : public net::runtime {
 public:
  sim_runtime(sim_net& net, std::string host) : net_(net), host_(std::move(host)) {}

  time_point now() override { return net_.now() + net_.spent_in_turn(host_); }
  /// Returns a wall clock time whose offset from the epoch equals that of virtual time.
  wall_time wall_now() override;
  /// Limits the calls to each address; there is no limit otherwise. The deadline of a call includes
  /// the time for which it is queued.
  void limit_calls(const call_limits& limits) { limits_ = limits; }
  net::timer_id after(duration delay, std::function<void()> action) override;
  void cancel(net::timer_id id) override;
  void call(const std::string& address, net::request message, duration deadline,
            net::reply_fn done) override;

 private:
  struct queued_call {
    std::uint64_t id;
    net::request message;
    time_point expires_at;
    net::reply_fn done;
  };
  /// The calls to one address.
  struct call_line {
    std::size_t active = 0;
    std::deque<queued_call> queue;
  };
  void run_timer(net::timer_id id, const std::function<void()>& action);
  void start_call(const std::string& address, net::request message, duration deadline,
                  net::reply_fn done);
  void start_limited_call(const std::string& address, queued_call call);
  void enqueue_call(const std::string& address, queued_call call);
  void expire_queued_call(const std::string& address, std::uint64_t id);

  sim_net& net_;
  std::string host_;
  std::optional<call_limits> limits_;
  std::map<std::string, call_line> lines_;  // by address; only with limits
  std::uint64_t next_call_ = 1;
  /// Maps each timer that became due while the host was frozen to the timer that replaces it.
  std::map<net::timer_id, net::timer_id> postponed_;
  std::set<net::timer_id> due_;  // timers that became due and were not cancelled
  callback_guard guard_;
};

}  // namespace gingerdrift::testing
