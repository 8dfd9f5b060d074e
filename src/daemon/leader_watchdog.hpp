#pragma once

#include <functional>

#include "leader/leader_term.hpp"
#include "leadership/leader_elector.hpp"
#include "net/timer.hpp"
#include "peers/peer_network.hpp"

namespace gingerdrift::daemon {

/// Makes this controller step down as leader if it receives no heartbeats from workers while one of
/// its peers does. Also measures how late the event loop runs, and logs when this process has been
/// stalled.
class leader_watchdog {
 public:
  /// Returns the leader term of this controller, or nullptr if it does not lead.
  using leading_term_fn = std::function<const leader::leader_term*()>;
  /// `heartbeat_period` is the interval at which each worker sends heartbeats.
  leader_watchdog(net::runtime& runtime, duration heartbeat_period,
                  const peers::peer_network& peers, leadership::leader_elector& elector,
                  metrics& controller_metrics, leading_term_fn leading_term);

  /// Starts the periodic checks, one every half second.
  void start();

 private:
  void check();
  void measure_loop_delay();
  duration heartbeat_timeout(const leader::leader_term& term) const;
  void step_down_if_peer_receives_heartbeats();

  net::runtime& runtime_;
  const duration heartbeat_period_;
  const peers::peer_network& peers_;
  leadership::leader_elector& elector_;
  metrics& metrics_;
  leading_term_fn leading_term_;
  time_point last_check_{};
  net::timer timer_;
};

}  // namespace gingerdrift::daemon
