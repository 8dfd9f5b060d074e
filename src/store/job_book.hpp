#pragma once

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

#include "store/change_queue.hpp"
#include "store/client.hpp"
#include "store/conflict_reader.hpp"
#include "store/end_waiters.hpp"
#include "store/ended_jobs.hpp"
#include "store/job.hpp"
#include "store/start_log.hpp"

namespace gingerdrift::store {

/// The leader's jobs, and the group commit that writes their changes.
///
/// What is written first when there is more than the store's limits allow: final states and
/// cancellations, then starts, then progress. One transaction is under way at a time. Each is
/// conditional on the leader key and on every written key's version: one that was given up on can't
/// undo a newer one by being applied late.
class job_book {
 public:
  struct hooks {
    std::function<void(const std::string& id)> stored;  // some of this job's changes are stored
    std::function<void(const std::string& id, const stored_end& end)> gone;  // its final record is
    std::function<void()> committed;  // a transaction's changes were all told of
    std::function<void()> deposed;    // the leader key is another's
    std::function<bool()> may_write;  // the leader's lease is valid
  };
  /// `sizes`: the largest values and transactions it writes.
  job_book(net::runtime& runtime, client& store, condition leader, const service_limits& sizes,
           hooks events);
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
  /// A change of the head that nobody waits for.
  void mark_head_progress(job& one);
  /// A new attempt: the start log stores it at once, its record follows.
  void mark_start(job& one, std::uint32_t task);
  /// A key of the start log, as an earlier leader left it; after all records were read.
  void read_log(const std::vector<entry>& found);
  /// A finished job without attempts moves to its final key and leaves the book.
  void retire(job& one);
  using end_fn = end_waiters::end_fn;
  /// Calls back with how the job ended once that is stored, or with nothing when it can't be said.
  void when_ended(const job& one, end_fn done);
  /// Whether a head record, asked for at that time, may be older than the end of its job.
  bool may_have_ended_since(const std::string& id, time_point asked) const {
    return ended_.may_have_ended_since(id, asked);
  }
  std::size_t backlog() const { return changes_.size(); }

 private:
  /// A unit as one transaction writes it.
  struct piece {
    unit_name unit;
    std::uint64_t mutation;
    bool final_record;
    bool erased;
    bool urgent;
    std::optional<stored_end> end;  // what it says of the job's end, once it is acknowledged
  };
  /// A transaction being put together.
  struct commit {
    double budget = 0;  // operations it may still take
    std::size_t bytes = 0;
    std::size_t biggest_value = 0;
    bool urgent_left = false;  // something urgent did not fit
    std::vector<condition> conditions;
    std::vector<operation> operations;
    std::vector<piece> pieces;
  };
  enum class outcome : std::uint8_t { added, nothing_to_write, not_yet, too_large, no_room };
  void queue(const unit_name& unit, bool urgent);
  void schedule(duration delay);
  void flush();
  void add_urgent(commit& batch);
  void add_starts(commit& batch);
  void add_progress(commit& batch);
  outcome add_unit(commit& batch, const unit_name& unit, bool urgent);
  outcome add_value(commit& batch, const unit_name& unit, job& one);
  static std::size_t stored_parts(const job& one);
  static std::optional<stored_end> end_as_written(const job& one);
  bool ends_in_one_step(const job& one) const;
  /// Head and parts go, and the final record comes, all in one transaction.
  outcome add_final(commit& batch, job& one, bool urgent);
  void send(commit batch);
  void refused(const commit& batch, const result& answer);
  void refused_for_size(const commit& batch);
  void take_back(const std::vector<piece>& pieces);
  void applied(const std::vector<piece>& pieces, std::uint64_t revision);
  void tell_waiters(const std::set<std::string>& touched);
  void note_end_writes(const std::vector<piece>& pieces);
  void remove(const std::string& id, const stored_end& end);
  void read_conflicts(std::vector<std::string> keys);
  void learn(const std::string& key, std::uint64_t version);
  void learn_end(const std::string& id, const stored_end& end);

  net::runtime& runtime_;
  client& store_;
  condition leader_;
  std::uint32_t txn_operations_;
  std::size_t value_bytes_;
  hooks events_;
  std::unordered_map<std::string, job> jobs_;
  start_log log_;
  change_queue changes_;
  end_waiters waiters_;
  ended_jobs ended_;
  conflict_reader conflicts_;
  bool busy_ = false;
  time_point last_starts_{};  // when starts were last written
  net::timer_id timer_ = 0;
  time_point timer_at_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::store
