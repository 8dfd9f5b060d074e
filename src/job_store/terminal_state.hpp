#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/ids.hpp"

namespace gingerdrift::job_store {

/// Status of a job. The statuses done and cancelled are final.
enum class job_status : std::uint8_t { active, done, cancelled };

class job;

/// Terminal state of a job, as stored in the state service.
///
/// An object can be created in two ways only: from a record that was read, and when the write that
/// stored it is acknowledged. The state of a job in a leader's memory is neither of these. This
/// ensures that nothing else is reported to users as final, cached, or passed on to dependent jobs.
class terminal_state {
 public:
  job_status status() const { return status_; }
  /// Number of tasks that were done when the job ended.
  std::uint32_t tasks_done() const { return tasks_done_; }

 private:
  terminal_state(job_status status, std::uint32_t tasks_done)
      : status_(status), tasks_done_(tasks_done) {}
  friend terminal_state decode_final(const nlohmann::json& record);
  friend job decode_head(const nlohmann::json& record, store_revision version);
  friend class group_commit;  // creates one when the state service has acknowledged the write

  job_status status_;
  std::uint32_t tasks_done_;
};

}  // namespace gingerdrift::job_store
