#pragma once

#include <optional>
#include <string>
#include <vector>

#include "admission/types.hpp"
#include "job_store/job.hpp"

namespace gingerdrift::workers {

/// Why an attempt of a task ended, as its worker tells it.
enum class exit_cause : std::uint8_t {
  none,             // it has not ended
  done,             // the task is complete
  stopped,          // by a command
  peers_gone,       // other members of its gang ended while it ran
  gang_incomplete,  // the other members of its gang did not start in time
  error,            // it failed by itself
  no_room,          // the machine has no room for it
  busy,             // the machine is in use otherwise
  unknown           // none of these
};

/// A task as a heartbeat lists it.
struct task_status {
  job_id job;
  std::uint32_t task = 0;
  attempt_number number;
  job_store::attempt_phase phase = job_store::attempt_phase::sent;
  exit_cause cause = exit_cause::none;  // only of one that has exited
};

/// A worker's heartbeat: who it is, and everything that runs or has ended there.
struct worker_heartbeat {
  machine_name machine;
  std::string address;  // for direct calls
  admission::pool pool;
  worker_incarnation incarnation;
  std::uint64_t sequence = 0;                  // counts up within an incarnation
  fencing_token token;                         // the newest that the worker has heard
  std::optional<duration> termination_notice;  // until the cloud takes the machine away
  std::vector<task_status> tasks;
};

/// What a worker is told to do with an attempt. `acknowledge_exit` lets it forget one that has
/// ended.
enum class command_type : std::uint8_t { start, stop, acknowledge_exit };

/// A command to a worker, for one attempt of a task.
struct command {
  workers::command_type type = workers::command_type::stop;
  job_id job;
  std::uint32_t task = 0;
  attempt_number number;
  duration grace{};  // of a stop: the time to save
};

/// Decodes a heartbeat; nullopt where the text is not a well-formed one, whatever is wrong with it.
/// A cause that is not known is read as `unknown`: a newer worker may have more of them.
std::optional<worker_heartbeat> decode_heartbeat(const std::string& text);
/// Encodes the answer to a heartbeat, or a direct call. `incarnation`: whom a direct call is for;
/// the answer to a heartbeat goes to whoever sent that.
std::string encode_commands(fencing_token token, const std::vector<command>& commands,
                            std::optional<worker_incarnation> incarnation = std::nullopt);
/// The body that sends a worker to the leader at that node, if there is one.
std::string encode_redirect(const node_name& node);
/// The cause as the log shows it.
const char* cause_name(exit_cause cause);

}  // namespace gingerdrift::workers
