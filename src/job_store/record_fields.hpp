#pragma once

/// Names of the fields of stored records, for the codecs. They must never change, because every
/// version reads the records of every other version.
namespace gingerdrift::job_store::field {

// Heads:
/// The description of a job that waits for dependencies is stored in the field `waiting` instead of
/// `spec`. Versions without support for dependencies ignore records that have no `spec`, so they
/// can't schedule a waiting job whose dependencies they would not consider.
inline constexpr const char* spec = "spec";
inline constexpr const char* spec_of_waiting_job = "waiting";
inline constexpr const char* dependencies = "dependencies";
inline constexpr const char* more_dependencies = "more_dependencies";  // [key prefix, count]
inline constexpr const char* ready = "ready";                          // ms since 1970
inline constexpr const char* created = "created";                      // ms since 1970
inline constexpr const char* tasks_per_unit = "unit";
inline constexpr const char* status = "status";

// Heads and parts:
inline constexpr const char* change = "change";
inline constexpr const char* next_attempt = "next_try";
/// [[first task, last task], ...]; in final records the number of tasks.
inline constexpr const char* done = "done";
inline constexpr const char* attempts = "attempts";  // [[task, number, machine, incarnation], ...]

// Descriptions:
inline constexpr const char* id = "id";
inline constexpr const char* lane = "lane";
inline constexpr const char* team = "team";
inline constexpr const char* gang = "gang";
inline constexpr const char* priority = "level";
inline constexpr const char* tasks = "tasks";
inline constexpr const char* need = "need";  // [cpus, gpus, memory in GB]
inline constexpr const char* zone = "zone";
inline constexpr const char* rules = "rules";  // [one zone, spread, spot]
inline constexpr const char* image = "image";
inline constexpr const char* image_gb = "image_gb";
inline constexpr const char* times = "times";  // [estimate, checkpoint, save] in seconds
inline constexpr const char* types = "types";  // absent: any machine type
inline constexpr const char* due = "due";      // in seconds

// The placement log:
/// [[job, task, number, machine, incarnation, unit, change], ...]
inline constexpr const char* placements = "starts";

}  // namespace gingerdrift::job_store::field
