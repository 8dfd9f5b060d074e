#pragma once

#include <variant>

#include "store/job.hpp"

namespace gingerdrift::store {

/// The latest state that anybody may have been told is not known here: ask the state service, or
/// tell the user to come back.
struct unsettled {};

/// Accepted and not over.
struct in_progress {
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

/// What a user may be told of an accepted job.
using job_state = std::variant<unsettled, in_progress, stored_end>;

/// When users are told that a job is cancelled.
enum class cancellation_told : std::uint8_t {
  when_stored,
  when_tasks_are_gone,  // which its final record says
};

/// From a head record that was read after the user asked.
job_state state_in_record(const job& record, cancellation_told told);

/// From the memory of a leader whose lease is valid.
job_state state_in_memory(const job& known, cancellation_told told);

}  // namespace gingerdrift::store
