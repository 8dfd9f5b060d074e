#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/ids.hpp"

namespace gingerdrift::job_store {

/// Whether a job goes on. Once done or cancelled it stays so.
enum class job_status : std::uint8_t { active, done, cancelled };

class job;

/// How a job ended, as the state service has it.
///
/// There are two ways to one: a record that was read, and the acknowledgement of the write that
/// stored it. What a leader's memory says of a job is neither, so that nothing else can be told to
/// users as final, cached, or passed on to dependents.
class terminal_state {
 public:
  job_status status() const { return status_; }
  /// How many of its tasks were done by then.
  std::uint32_t tasks_done() const { return tasks_done_; }

 private:
  terminal_state(job_status status, std::uint32_t tasks_done)
      : status_(status), tasks_done_(tasks_done) {}
  friend terminal_state decode_final(const nlohmann::json& record);
  friend job decode_head(const nlohmann::json& record, store_revision version);
  friend class group_commit;  // once the state service has acknowledged the write

  job_status status_;
  std::uint32_t tasks_done_;
};

}  // namespace gingerdrift::job_store
