#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "store/client.hpp"
#include "store/stored_end.hpp"

namespace gingerdrift::dependencies {

/// Finds out from the store what became of jobs that others wait for.
///
/// Mostly they ended long ago, so that their final records are read first, in pages where the names
/// lie close together: after a takeover there may be thousands. A job without a final record was
/// accepted elsewhere a moment ago, and has a head. Names that can't be settled yet go behind all
/// others, so that no number of unreadable records keeps the rest waiting.
class progress_lookup {
 public:
  struct hooks {
    /// Settles the job without the store; true if nothing has to be read.
    std::function<bool(const std::string& job)> settled;
    std::function<void(const std::string& job, const store::stored_end& end)> ended;
    /// A head record was read, asked for at that time; true if the job is known by it.
    std::function<bool(const store::entry& head, time_point asked)> found_head;
  };
  progress_lookup(net::runtime& runtime, store::client& store, hooks events);
  ~progress_lookup();
  progress_lookup(const progress_lookup&) = delete;
  progress_lookup& operator=(const progress_lookup&) = delete;

  void add(const std::string& job);
  /// Looks at what was added.
  void start();

 private:
  /// Names in key order, being looked up with one page after the other.
  using batch = std::vector<std::string>;
  void read_finals(const std::shared_ptr<batch>& names, std::size_t next);
  void finals_read(const std::shared_ptr<batch>& names, std::size_t next,
                   const store::result& page);
  void final_found(const std::string& job, const store::entry& record);
  void read_head(const std::string& job);
  void try_later(const std::string& job);
  void finish(const std::string& job);

  net::runtime& runtime_;
  store::client& store_;
  hooks events_;
  std::deque<std::string> queue_;
  std::set<std::string> pending_;  // in the queue, being read, or to be tried later
  std::map<std::string, std::uint32_t> malformed_;
  bool reading_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::dependencies
