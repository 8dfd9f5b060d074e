#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

#include "store/client.hpp"
#include "store/job.hpp"
#include "store/start_log.hpp"

namespace gingerdrift::store {

/// The leader's jobs, and the group commit that writes their changes.
///
/// One transaction is under way at a time. Each is conditional on the leader key and on every
/// written key's version: one that was given up on can't undo a newer one by being applied late.
class job_book {
 public:
  struct hooks {
    std::function<void(const std::string& id)> stored;  // some of this job's changes are stored
    std::function<void(const std::string& id, const final_state& end)> gone;  // its final record is
    std::function<void()> deposed;    // the leader key is another's
    std::function<bool()> may_write;  // the leader's lease is valid
  };
  job_book(net::runtime& runtime, client& store, condition leader, std::uint32_t txn_ops,
           std::size_t value_bytes, hooks events);
  ~job_book();
  job_book(const job_book&) = delete;
  job_book& operator=(const job_book&) = delete;

  job* find(const std::string& id);
  const job* find(const std::string& id) const;
  job& insert(job one);
  std::unordered_map<std::string, job>& all() { return jobs_; }
  const std::unordered_map<std::string, job>& all() const { return jobs_; }

  /// `urgent`: a worker or a user waits for it. Progress can wait a little, and then goes with
  /// whatever else has changed in the record by that time.
  void mark(job& one, std::uint32_t task, bool urgent = true);
  void mark_head(job& one);
  /// A new attempt: the start log stores it at once, its record follows.
  void mark_start(job& one, std::uint32_t task);
  /// A key of the start log, as an earlier leader left it; after all records were read.
  void read_log(const std::vector<entry>& found);
  /// A finished job without attempts moves to its final key and leaves the book.
  void retire(job& one);
  /// Calls back once everything marked on the head so far is stored, or with false when it won't
  /// be.
  void when_head_stored(job& one, std::function<void(bool)> done);
  std::size_t backlog() const { return urgent_.size() + progress_.size(); }

 private:
  struct piece {
    std::string id;
    std::size_t unit;
    std::uint64_t mutation;
    bool final_record;
    bool erased;
  };
  using unit_name = std::pair<std::string, std::size_t>;
  struct waiting_unit {
    unit_name unit;
    time_point since;
  };
  void queue(const std::string& id, std::size_t unit, bool urgent);
  void promote();
  void take_back(const std::vector<piece>& pieces);
  void schedule(duration delay);
  void flush();
  void applied(const std::vector<piece>& pieces, std::uint64_t revision);
  void repair(std::vector<std::string> keys);
  void learn(const std::string& key, std::uint64_t version);

  net::runtime& runtime_;
  client& store_;
  condition leader_;
  std::uint32_t txn_ops_;
  hooks events_;
  std::unordered_map<std::string, job> jobs_;
  start_log log_;
  std::deque<unit_name> urgent_;
  std::deque<waiting_unit> progress_;
  std::set<unit_name> in_urgent_;
  std::set<unit_name> in_progress_;
  std::unordered_map<std::string, std::vector<std::pair<std::uint64_t, std::function<void(bool)>>>>
      waiters_;
  bool busy_ = false;
  net::timer_id timer_ = 0;
  time_point timer_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::store
