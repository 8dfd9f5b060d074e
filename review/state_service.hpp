#pragma once

#include <functional>
#include <list>
#include <map>
#include <string>

#include "base/token_bucket.hpp"
#include "service.hpp"

namespace review {

/// Stand-in for the state service of the platform: a key-value store with leases, transactions and
/// watches, within the limits of the settings.
class state_service {
 public:
  struct limits {
    double requests_per_s = 150;
    double writes_per_s = 60;
    std::size_t value_bytes = 8 << 10;
    std::size_t operations = 32;
  };
  state_service(gingerdrift::net::uv_runtime& runtime, std::string address, const limits& limits);

  const std::string& address() const { return address_; }
  /// Returns the value of a key, or null if there is none. For the case's own observations only.
  json peek(const std::string& key) const;
  /// Returns how much later than usual a request is executed; none by default.
  std::function<duration(const gingerdrift::net::request&)> extra_delay;

 private:
  struct entry {
    json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string key;
    bool deleted = false;
    json value;
  };
  struct lease {
    duration ttl;
    time_point until;
  };
  struct watcher {
    std::string prefix;
    std::uint64_t from = 0;
    gingerdrift::net::reply_fn reply;
    std::uint64_t id = 0;
  };

  void handle(const gingerdrift::net::request& message, const gingerdrift::net::reply_fn& reply);
  void execute(const gingerdrift::net::request& message, const gingerdrift::net::reply_fn& reply);
  void read_key(const std::string& key, const gingerdrift::net::reply_fn& reply) const;
  void list(const std::string& target, const gingerdrift::net::reply_fn& reply) const;
  void watch(const std::string& target, const gingerdrift::net::reply_fn& reply);
  void transact(const json& body, const gingerdrift::net::reply_fn& reply);
  void change_lease(const gingerdrift::net::request& message,
                    const gingerdrift::net::reply_fn& reply);
  bool within_sizes(const json& body, std::size_t bytes) const;
  json unmet_conditions(const json& body) const;
  void apply(const json& operations);
  json changes_since(const std::string& prefix, std::uint64_t from) const;
  void notify_watchers();
  void end_expired_leases();
  void end_lease(std::uint64_t id);

  gingerdrift::net::uv_runtime& runtime_;
  std::string address_;
  limits limits_;
  gingerdrift::token_bucket requests_;
  gingerdrift::token_bucket writes_;
  std::map<std::string, entry> entries_;
  std::list<change> changes_;
  std::map<std::uint64_t, lease> leases_;
  std::list<watcher> watchers_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_id_ = 1;
  std::unique_ptr<gingerdrift::net::http_server> server_;
};

}  // namespace review
