#include "workers/codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <nlohmann/json.hpp>

namespace gingerdrift::workers {

using json = nlohmann::json;
using job_store::attempt_phase;

namespace {

/// Field names of a heartbeat on the wire.
namespace heartbeat_field {
constexpr const char* machine = "host";
constexpr const char* address = "addr";
constexpr const char* machine_type = "flavor";
constexpr const char* zone = "yard";
constexpr const char* spot = "loaners";
constexpr const char* incarnation = "shift";
constexpr const char* sequence = "tick";
constexpr const char* token = "baton";
constexpr const char* notice_s = "warningS";  // optional
constexpr const char* tasks = "pieces";
}  // namespace heartbeat_field

/// Field names of a task in a heartbeat.
namespace task_field {
constexpr const char* id = "piece";  // JOB/INDEX
constexpr const char* attempt = "try";
constexpr const char* state = "status";
constexpr const char* cause = "cause";  // optional; read only if the task has exited
}  // namespace task_field

/// Field names of an answer or a direct call, and of the commands in it.
namespace command_field {
constexpr const char* token = "baton";
constexpr const char* incarnation = "shift";  // optional
constexpr const char* commands = "orders";
constexpr const char* type = "verb";
constexpr const char* task = "piece";
constexpr const char* attempt = "try";
constexpr const char* grace_s = "mercyS";  // of a stop command
constexpr const char* leader = "boss";     // of a redirect
}  // namespace command_field

/// An enumerator and its name on the wire.
template <typename enumeration>
struct wire_name {
  const char* name;
  enumeration value;
};

constexpr std::array phase_names = {
    wire_name<attempt_phase>{"pulling", attempt_phase::fetching},
    wire_name<attempt_phase>{"waiting", attempt_phase::waiting},
    wire_name<attempt_phase>{"running", attempt_phase::running},
    wire_name<attempt_phase>{"flushing", attempt_phase::saving},
    wire_name<attempt_phase>{"ended", attempt_phase::exited},
};

constexpr std::array cause_names = {
    wire_name<exit_cause>{"done", exit_cause::done},
    wire_name<exit_cause>{"halted", exit_cause::stopped},
    wire_name<exit_cause>{"mates_gone", exit_cause::peers_gone},
    wire_name<exit_cause>{"alone", exit_cause::gang_incomplete},
    wire_name<exit_cause>{"error", exit_cause::error},
    wire_name<exit_cause>{"no_room", exit_cause::no_room},
    wire_name<exit_cause>{"in_use", exit_cause::busy},
};

constexpr std::array command_names = {
    wire_name<command_type>{"run", command_type::start},
    wire_name<command_type>{"stop", command_type::stop},
    wire_name<command_type>{"reap", command_type::acknowledge_exit},
};

template <typename enumeration, std::size_t size>
std::optional<enumeration> value_of(const std::array<wire_name<enumeration>, size>& names,
                                    const std::string& name) {
  const auto entry = std::find_if(names.begin(), names.end(),
                                  [&](const auto& candidate) { return candidate.name == name; });
  if (entry == names.end()) return std::nullopt;
  return entry->value;
}

const char* name_of(command_type type) {
  return std::find_if(command_names.begin(), command_names.end(),
                      [&](const auto& candidate) { return candidate.value == type; })
      ->name;
}

/// Thrown to abort the decoding of a malformed heartbeat, and caught within this file.
class malformed_heartbeat : public std::exception {};

json parse_json(const std::string& text) {
  json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) throw malformed_heartbeat();
  return parsed;
}

const json& member(const json& object, const char* field) {
  try {
    return object.at(field);
  } catch (const json::exception&) {
    throw malformed_heartbeat();
  }
}

template <typename type>
type value(const json& object, const char* field) {
  try {
    return object.at(field).get<type>();
  } catch (const json::exception&) {
    throw malformed_heartbeat();
  }
}

task_id read_task_id(const std::string& text) {
  const auto slash = text.rfind('/');
  if (slash == std::string::npos || slash == 0) throw malformed_heartbeat();
  task_id id{job_id(text.substr(0, slash))};
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + slash + 1, last, id.index);
  if (parsed.ec != std::errc() || parsed.ptr != last) throw malformed_heartbeat();
  return id;
}

attempt_phase read_phase(const json& task) {
  const auto phase = value_of(phase_names, value<std::string>(task, task_field::state));
  if (!phase) throw malformed_heartbeat();
  return *phase;
}

exit_cause read_cause(const json& task) {
  if (!task.contains(task_field::cause)) return exit_cause::unknown;
  return value_of(cause_names, value<std::string>(task, task_field::cause))
      .value_or(exit_cause::unknown);
}

std::optional<duration> read_notice(const json& heartbeat) {
  constexpr double max_notice_s = 86400;
  if (!heartbeat.contains(heartbeat_field::notice_s) ||
      heartbeat[heartbeat_field::notice_s].is_null())
    return std::nullopt;
  return from_seconds(
      std::clamp(value<double>(heartbeat, heartbeat_field::notice_s), 0.0, max_notice_s));
}

task_status decode_task(const json& item) {
  task_status task;
  task_id id = read_task_id(value<std::string>(item, task_field::id));
  task.job = std::move(id.job);
  task.task = id.index;
  task.number = attempt_number(value<std::uint64_t>(item, task_field::attempt));
  task.phase = read_phase(item);
  if (task.phase == attempt_phase::exited) task.cause = read_cause(item);
  return task;
}

worker_heartbeat decode_heartbeat(const json& in) {
  worker_heartbeat heartbeat;
  heartbeat.machine = machine_name(value<std::string>(in, heartbeat_field::machine));
  heartbeat.address = value<std::string>(in, heartbeat_field::address);
  heartbeat.pool = {value<std::string>(in, heartbeat_field::machine_type),
                    zone_name(value<std::string>(in, heartbeat_field::zone)),
                    value<bool>(in, heartbeat_field::spot)};
  heartbeat.incarnation =
      worker_incarnation(value<std::uint64_t>(in, heartbeat_field::incarnation));
  heartbeat.sequence = value<std::uint64_t>(in, heartbeat_field::sequence);
  heartbeat.token = fencing_token(value<std::uint64_t>(in, heartbeat_field::token));
  heartbeat.termination_notice = read_notice(in);
  for (const auto& item : member(in, heartbeat_field::tasks))
    heartbeat.tasks.push_back(decode_task(item));
  return heartbeat;
}

json encode_command(const command& sent) {
  json encoded = {{command_field::task, sent.job.str() + "/" + std::to_string(sent.task)},
                  {command_field::attempt, sent.number.value()},
                  {command_field::type, name_of(sent.type)}};
  if (sent.type == command_type::stop) encoded[command_field::grace_s] = to_seconds(sent.grace);
  return encoded;
}

}  // namespace

std::optional<worker_heartbeat> decode_heartbeat(const std::string& text) {
  try {
    return decode_heartbeat(parse_json(text));
  } catch (const malformed_heartbeat&) {
    return std::nullopt;
  }
}

std::string encode_commands(fencing_token token, const std::vector<command>& commands,
                            std::optional<worker_incarnation> incarnation) {
  json out = {{command_field::token, token.value()}, {command_field::commands, json::array()}};
  if (incarnation) out[command_field::incarnation] = incarnation->value();
  for (const auto& sent : commands) out[command_field::commands].push_back(encode_command(sent));
  return out.dump();
}

std::string encode_redirect(const node_name& node) {
  return node.empty() ? "{}" : json({{command_field::leader, node.str()}}).dump();
}

const char* cause_name(exit_cause cause) {
  switch (cause) {
    case exit_cause::none:
      return "none";
    case exit_cause::done:
      return "done";
    case exit_cause::stopped:
      return "stopped";
    case exit_cause::peers_gone:
      return "peers_gone";
    case exit_cause::gang_incomplete:
      return "alone";
    case exit_cause::error:
      return "error";
    case exit_cause::no_room:
      return "no_room";
    case exit_cause::busy:
      return "busy";
    case exit_cause::unknown:
      break;
  }
  return "unknown";
}

}  // namespace gingerdrift::workers
