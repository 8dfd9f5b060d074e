#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/transport.hpp"
#include "store/client.hpp"
#include "workers/wire.hpp"

namespace gingerdrift::workers {

/// Where a deputy says that it acts; the leader reads it before it takes any lease for over.
std::string deputy_key(const std::string& node);
extern const char* const deputy_prefix;

/// A controller in a zone that is cut off from the leader keeps the zone's workers alive.
///
/// It starts nothing. It answers with the leader's token only while the store, which belongs to no
/// zone, confirms that token; only after its own record says that it acts; and only for tasks whose
/// jobs it has just read. Tasks of jobs that are cancelled or over are stopped.
class deputy {
 public:
  struct hooks {
    /// The leader's node, and whether this controller hears of it.
    std::function<std::pair<std::string, bool>()> leader;
    std::function<std::string(const std::string& node)> zone_of;
  };
  /// `most_age`: how old a reading of a job may be when an answer renews a lease; at most what a
  /// cancellation has beyond that lease.
  deputy(net::runtime& runtime, store::client& store, std::string node, std::string zone,
         duration most_age, hooks events);
  ~deputy();
  deputy(const deputy&) = delete;
  deputy& operator=(const deputy&) = delete;

  void start();
  /// Is there a leader in another zone that this controller doesn't hear?
  bool needed() const;
  /// Is this a worker of our zone, cut off from the leader with us?
  bool stands_in_for(const report& said) const;
  /// Answers with 200 once everything is confirmed, or with 503 when it can't be.
  void handle(report said, net::reply_fn reply);

 private:
  struct job_state {
    bool active = false;
    time_point read{};  // when the reading was sent
    bool reading = false;
  };
  struct pending {
    report said;
    net::reply_fn reply;
    time_point until;
  };
  bool in_force() const;
  bool fresh(const job_state& one) const;
  void confirm();
  void enter(std::uint64_t version);
  void leave();
  void record(std::vector<store::condition> conditions, store::json value,
              std::function<void(bool)> done);
  void read_job(const std::string& id);
  void settle();
  void tick();

  net::runtime& runtime_;
  store::client& store_;
  std::string node_;
  std::string zone_;
  duration job_age_;
  hooks events_;
  std::uint64_t token_ = 0;
  time_point confirmed_{};
  bool confirming_ = false;
  bool entered_ = false;  // our record says that we act
  bool recording_ = false;
  bool recorded_ = true;  // it may say so: from a former process, or an unanswered write
  std::map<std::string, job_state> jobs_;
  std::vector<pending> pending_;
  net::timer_id timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::workers
