#pragma once

#include <memory>
#include <string>
#include <vector>

#include "front/final_cache.hpp"
#include "front/node_services.hpp"
#include "front/state_reader.hpp"
#include "front/submissions.hpp"

namespace gingerdrift::front {

struct options {
  submission_options submissions;
  std::uint32_t final_cache = 16384;
  store::cancellation_told cancellation = store::cancellation_told::when_stored;
  std::string node;
};

/// The users' interface, the same on every controller.
class user_interface {
 public:
  user_interface(net::runtime& runtime, store::client& store, const options& how,
                 std::vector<daemon::team> teams, node_services& services);
  ~user_interface();
  user_interface(const user_interface&) = delete;
  user_interface& operator=(const user_interface&) = delete;

  /// `forwarded`: it comes from a peer and is not passed on again.
  void handle(const net::request& message, bool forwarded, const net::reply_fn& reply);
  void remember(const std::string& id, const store::stored_end& end) { finals_.insert(id, end); }
  std::optional<store::stored_end> remembered(const std::string& id) const {
    return finals_.find(id);
  }

 private:
  void handle_job(const std::string& path, const net::request& message, bool forwarded,
                  const net::reply_fn& reply);
  void poll(const std::string& id, const net::request& message, bool forwarded,
            const net::reply_fn& reply);
  void withdraw(const std::string& id, const net::request& message, bool forwarded,
                const net::reply_fn& reply);
  void withdraw_unknown(const std::string& id, const net::reply_fn& reply);

  net::runtime& runtime_;
  node_services& services_;
  final_cache finals_;
  state_reader states_;
  submissions submissions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::front
