#pragma once

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "front/wire.hpp"
#include "net/transport.hpp"
#include "store/client.hpp"

namespace gingerdrift::front {

/// Final states, which never change: the only answers that may be cached.
class final_cache {
 public:
  explicit final_cache(std::size_t most) : most_(most) {}
  std::optional<store::final_state> find(const std::string& id) const {
    const auto found = states_.find(id);
    if (found == states_.end()) return std::nullopt;
    return found->second;
  }
  void insert(const std::string& id, const store::final_state& end);

 private:
  std::size_t most_;
  std::list<std::string> order_;
  std::unordered_map<std::string, store::final_state> states_;
};

/// What the leader knows of a job.
struct progress {
  store::job_status status = store::job_status::active;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

struct options {
  std::uint32_t waiting_submissions = 64;
  std::uint32_t final_cache = 4096;
  std::uint32_t unit_tasks = 48;  // tasks that one record of a job holds
  /// A job is called cancelled only once its tasks are proven gone.
  bool confirms_when_gone = false;
};

/// The users' interface, the same on every controller.
class front {
 public:
  struct hooks {
    std::function<bool()> leads;  // with a valid lease and everything read
    std::function<std::optional<progress>(const std::string&)> known;
    std::function<void(const std::string&, std::function<void(std::optional<store::job_status>)>)>
        cancel;  // leader only; empty: could not be stored
    std::function<void(const std::string&)> submitted;
    std::function<void(const net::request&, net::reply_fn)> forward;  // to the leader
    std::function<void(const net::request&, net::reply_fn)> pass_on;  // to a peer whose store works
    std::function<bool()> healthy;
    std::function<const std::vector<admission::machine_type>&()> types;
    std::function<std::string()> status;
  };
  front(net::runtime& runtime, store::client& store, options how, std::vector<daemon::team> teams,
        hooks events);
  ~front();
  front(const front&) = delete;
  front& operator=(const front&) = delete;

  /// `forwarded`: it comes from a peer and is not passed on again.
  void handle(const net::request& message, bool forwarded, const net::reply_fn& reply);
  void remember(const std::string& id, const store::final_state& end) { finals_.insert(id, end); }
  bool remembers(const std::string& id) const { return finals_.find(id).has_value(); }

 private:
  void submit(const net::request& message, bool forwarded, const net::reply_fn& reply);
  void known_again(const std::string& id, const net::reply_fn& reply);
  void poll(const std::string& id, const net::request& message, bool forwarded,
            const net::reply_fn& reply);
  void withdraw(const std::string& id, const net::request& message, bool forwarded,
                const net::reply_fn& reply);
  void read_state(const std::string& id, const net::reply_fn& reply);
  static void later(const net::reply_fn& reply, const char* why);

  net::runtime& runtime_;
  store::client& store_;
  options how_;
  std::vector<daemon::team> teams_;
  hooks events_;
  final_cache finals_;
  std::uint32_t waiting_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::front
