#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "store/job_book.hpp"

namespace gingerdrift::dependencies {

/// The parts of dependency lists that head records have no room for.
///
/// A new leader reads them before it knows what their jobs wait for. They are deleted once no
/// stored head names them: a successor that found a head without its list could never tell what the
/// job waits for, and would call it neither pending nor cancelled for ever.
class dependency_lists {
 public:
  using read_fn = std::function<void(const std::string& job)>;
  /// `read`: a job's list has become complete.
  dependency_lists(net::runtime& runtime, store::client& store, store::job_book& book,
                   read_fn read);
  ~dependency_lists();
  dependency_lists(const dependency_lists&) = delete;
  dependency_lists& operator=(const dependency_lists&) = delete;

  void read(const store::job& one);
  /// Whether some of the job's dependencies are still unknown.
  bool reading(const std::string& job) const { return reading_.count(job) != 0; }

  /// The job waits no longer. Its head has to be marked as changed afterwards.
  void release(store::job& one);
  /// Some of the job's changes are stored.
  void job_stored(const std::string& job);
  /// The job's final record is stored, and its head gone.
  void job_gone(const std::string& job);

 private:
  struct progress {
    store::dependency_parts parts;
    std::size_t next = 0;         // part to be read
    std::uint32_t malformed = 0;  // readings that failed for what the record holds
  };
  struct released {
    store::dependency_parts parts;
    std::uint64_t head_change = 0;  // heads stored before it name the list
  };
  void read_part(const std::string& job);
  void part_read(const std::string& job, const store::result& found);
  void read_later(const std::string& job);
  void erase(const store::dependency_parts& parts, std::size_t index);

  net::runtime& runtime_;
  store::client& store_;
  store::job_book& book_;
  read_fn read_;
  std::map<std::string, progress> reading_;
  std::map<std::string, released> released_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gingerdrift::dependencies
