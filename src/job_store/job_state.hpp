#pragma once

#include <variant>

#include "job_store/job.hpp"

namespace gingerdrift::job_store {

/// The latest state that may have been reported to a user can't be determined here. The caller must
/// read it from the state service or ask the user to try again later.
struct indeterminate {};

/// The job was accepted and has not ended. Contains the numbers of finished and of running tasks.
struct in_progress {
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

/// State of an accepted job as it may be reported to a user.
using job_state = std::variant<indeterminate, in_progress, terminal_state>;

/// When a cancellation is reported to users.
enum class cancellation_acknowledgement : std::uint8_t {
  when_stored,          // as soon as the cancellation is stored
  when_tasks_are_gone,  // as shown by the job's final record
};

/// Returns the state according to the job's head record, which must have been read after the user's
/// request arrived.
job_state state_in_record(const job& record, cancellation_acknowledgement acknowledgement);

/// Returns the state according to the memory of a leader whose lease is valid.
job_state state_in_memory(const job& job, cancellation_acknowledgement acknowledgement);

}  // namespace gingerdrift::job_store
