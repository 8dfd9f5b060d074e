#pragma once

#include <optional>
#include <string>
#include <vector>

#include "admission/types.hpp"
#include "job_store/job.hpp"

namespace gingerdrift::workers {

/// Why an attempt of a task ended, as reported by its worker.
enum class exit_cause : std::uint8_t {
  none,             // the attempt has not ended
  done,             // the task is complete
  stopped,          // stopped by a command
  peers_gone,       // other members of the gang ended while this one ran
  gang_incomplete,  // the other members of the gang did not start in time
  error,            // the task itself failed
  no_room,          // the machine has no room for the task
  busy,             // the machine is in use for something else
  unknown           // any other cause, or none was given
};

/// Status of one attempt of a task in a heartbeat.
struct task_status {
  job_id job;
  std::uint32_t task = 0;
  attempt_number number;
  job_store::attempt_phase phase = job_store::attempt_phase::sent;
  exit_cause cause = exit_cause::none;  // set only if the phase is `exited`
};

/// A worker's heartbeat: identifies the worker and lists all attempts that run there, and those
/// that have ended there and are not acknowledged.
struct worker_heartbeat {
  machine_name machine;
  std::string address;  // for calls from the controller to the worker
  admission::pool pool;
  worker_incarnation incarnation;
  std::uint64_t sequence = 0;                  // increases within an incarnation
  fencing_token token;                         // the newest that the worker has received
  std::optional<duration> termination_notice;  // time until the cloud takes the machine away
  std::vector<task_status> tasks;
};

/// What a worker has to do with an attempt. After `acknowledge_exit` it no longer lists the ended
/// attempt in its heartbeats.
enum class command_type : std::uint8_t { start, stop, acknowledge_exit };

/// A command to a worker concerning one attempt of a task.
struct command {
  workers::command_type type = workers::command_type::stop;
  job_id job;
  std::uint32_t task = 0;
  attempt_number number;
  duration grace{};  // of a stop: the time the task has to save its state
};

/// Decodes a heartbeat. Returns nullopt if the text is malformed in any respect. An unrecognized
/// exit cause is decoded as `unknown`, because newer workers may define further causes.
std::optional<worker_heartbeat> decode_heartbeat(const std::string& text);
/// Encodes the body of an answer to a heartbeat or of a direct call to a worker. `incarnation` is
/// given for direct calls only and names the incarnation that the commands are meant for; the
/// answer to a heartbeat always reaches its sender.
std::string encode_commands(fencing_token token, const std::vector<command>& commands,
                            std::optional<worker_incarnation> incarnation = std::nullopt);
/// Encodes the body that redirects a worker to the leader on that node. An empty name means that no
/// leader is known.
std::string encode_redirect(const node_name& node);
/// Returns the name of the cause for log lines.
const char* cause_name(exit_cause cause);

}  // namespace gingerdrift::workers
