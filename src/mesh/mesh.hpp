#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mesh/codec.hpp"
#include "net/transport.hpp"

namespace gingerdrift::mesh {

struct peer_state {
  std::string address;
  time_point heard{};
  bool quiet = false;  // not heard lately, and the log says so
  bool store_works = false;
  std::uint64_t reports_seen = 0;
};

/// Talk between the controllers: msgpack bodies over the same HTTP as everything else.
class link {
 public:
  struct hooks {
    std::function<void(const net::request&, net::reply_fn)> user;  // a forwarded user request
    std::function<void(const std::string& job)> new_job;
    std::function<bool()> store_works;
    std::function<std::uint64_t()> reports_seen;
    std::function<std::pair<std::string, std::uint64_t>()> leader;
    std::function<void(const std::string& node, std::uint64_t token)> heard_leader;
  };
  link(net::runtime& runtime, std::string node, const std::map<std::string, std::string>& peers,
       hooks events);
  ~link();
  link(const link&) = delete;
  link& operator=(const link&) = delete;

  void start();
  /// The handler of the peers' listening address.
  void handle(const net::request& message, const net::reply_fn& reply);
  /// Passes a user's request on. Status 0: no answer from that node.
  void forward(const std::string& node, const net::request& message, duration deadline,
               net::reply_fn done);
  void announce(const std::string& node, const std::string& job);
  const std::map<std::string, peer_state>& peers() const { return peers_; }
  bool heard_lately(const peer_state& peer) const;

 private:
  void beat();

  net::runtime& runtime_;
  std::string node_;
  std::map<std::string, peer_state> peers_;
  hooks events_;
  net::timer_id timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::mesh
