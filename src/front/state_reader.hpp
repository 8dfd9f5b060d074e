#pragma once

#include <memory>
#include <string>

#include "front/final_cache.hpp"
#include "front/node_services.hpp"
#include "store/client.hpp"
#include "store/job_state.hpp"

namespace gingerdrift::front {

/// Answers users' questions about a job from the state service.
class state_reader {
 public:
  state_reader(net::runtime& runtime, store::client& store, final_cache& finals,
               store::cancellation_told told);
  ~state_reader();
  state_reader(const state_reader&) = delete;
  state_reader& operator=(const state_reader&) = delete;

  /// Replies with its state, 404 if it was never accepted, or 503.
  void read(const std::string& id, const net::reply_fn& reply);

 private:
  using found_fn = std::function<void(const store::result&)>;
  /// Reads a key for a question about a job: replies 503 itself if the store doesn't answer.
  void read_key(const std::string& key, const net::reply_fn& reply, found_fn found,
                std::function<void()> absent);
  void read_head(const std::string& id, const net::reply_fn& reply);
  void read_final_again(const std::string& id, const net::reply_fn& reply);
  void check_no_head(const std::string& id, const store::stored_end& end,
                     const net::reply_fn& reply);
  bool outdated(const store::result& reading) const;
  void reply_from_head(const std::string& id, const store::result& reading,
                       const net::reply_fn& reply) const;
  void reply_from_final(const std::string& id, const store::entry& record,
                        const net::reply_fn& reply);

  net::runtime& runtime_;
  store::client& store_;
  final_cache& finals_;
  store::cancellation_told told_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::front
