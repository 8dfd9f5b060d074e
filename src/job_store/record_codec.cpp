#include "job_store/record_codec.hpp"

#include <algorithm>
#include <utility>

#include "job_store/job.hpp"
#include "job_store/record_fields.hpp"
#include "job_store/record_reader.hpp"

namespace gingerdrift::job_store {

using json = nlohmann::json;

namespace {

constexpr std::uint32_t max_tasks = 100000;

job_status decode_status(const std::string& name) {
  for (const auto status : {job_status::active, job_status::done, job_status::cancelled}) {
    if (name == status_name(status)) return status;
  }
  throw record_error(field::status, "unknown status");
}

json encode_spec(const job_spec& spec) {
  json record = {{field::id, spec.id.str()},
                 {field::lane, spec.lane},
                 {field::team, spec.team},
                 {field::gang, spec.gang},
                 {field::priority, static_cast<int>(spec.level)},
                 {field::tasks, spec.tasks},
                 {field::need, {spec.need.cpus, spec.need.gpus, spec.need.memory_gb}},
                 {field::zone, spec.zone.str()},
                 {field::rules, {spec.one_zone, spec.spread, spec.spot}},
                 {field::image, spec.image},
                 {field::image_gb, spec.image_gb},
                 {field::times,
                  {to_seconds(spec.estimate), to_seconds(spec.checkpoint), to_seconds(spec.save)}}};
  if (!spec.any_type) record[field::types] = spec.types;
  if (spec.due) record[field::due] = to_seconds(*spec.due);
  return record;
}

duration decode_time(const json& record, std::size_t index) {
  return from_seconds(required_element<double>(record, field::times, index));
}

job_spec decode_spec(const json& record) {
  job_spec spec;
  spec.id = job_id(required<std::string>(record, field::id));
  spec.lane = required<std::string>(record, field::lane);
  spec.team = required<std::string>(record, field::team);
  spec.gang = required<bool>(record, field::gang);
  spec.level = static_cast<admission::priority>(required<int>(record, field::priority));
  spec.tasks = required<std::uint32_t>(record, field::tasks);
  spec.need = {required_element<double>(record, field::need, 0),
               required_element<double>(record, field::need, 1),
               required_element<double>(record, field::need, 2)};
  spec.zone = zone_name(required<std::string>(record, field::zone));
  spec.one_zone = required_element<bool>(record, field::rules, 0);
  spec.spread = required_element<bool>(record, field::rules, 1);
  spec.spot = required_element<bool>(record, field::rules, 2);
  spec.image = required<std::string>(record, field::image);
  spec.image_gb = required<double>(record, field::image_gb);
  spec.estimate = decode_time(record, 0);
  spec.checkpoint = decode_time(record, 1);
  spec.save = decode_time(record, 2);
  spec.any_type = !record.contains(field::types);
  if (!spec.any_type) spec.types = required<std::vector<std::string>>(record, field::types);
  if (record.contains(field::due)) spec.due = from_seconds(required<double>(record, field::due));
  return spec;
}

/// Range of the tasks that a unit holds; both ends are included.
struct task_range {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
};

task_range tasks_of_unit(const job& job, std::size_t unit) {
  const auto part = unit == 0 ? 0 : static_cast<std::uint32_t>(unit - 1);
  const std::uint32_t first = part * job.tasks_per_unit();
  return {first, std::min(first + job.tasks_per_unit(), job.spec().tasks) - 1};
}

json encode_finished_tasks(const job& job, const task_range& tasks) {
  json finished = json::array();
  const auto& ranges = job.done().ranges();
  auto range = ranges.upper_bound(tasks.first);
  if (range != ranges.begin()) --range;
  for (; range != ranges.end() && range->first <= tasks.last; ++range) {
    if (range->second < tasks.first) continue;
    finished.push_back({std::max(range->first, tasks.first), std::min(range->second, tasks.last)});
  }
  return finished;
}

json encode_attempts(const job& job, const task_range& tasks) {
  json attempts = json::array();
  for (auto placed = job.attempts().lower_bound(tasks.first);
       placed != job.attempts().end() && placed->first <= tasks.last; ++placed) {
    const auto& [task, attempt] = *placed;
    attempts.push_back(
        {task, attempt.number.value(), attempt.machine.str(), attempt.incarnation.value()});
  }
  return attempts;
}

/// Encodes the attempts and finished tasks of one unit; the finished tasks as ranges.
void encode_tasks(const job& job, std::size_t unit, json& record) {
  const task_range tasks = tasks_of_unit(job, unit);
  record[field::next_attempt] = job.units()[unit].next_attempt.value();
  record[field::change] = job.units()[unit].latest_change;
  json finished = encode_finished_tasks(job, tasks);
  if (!finished.empty()) record[field::done] = std::move(finished);
  json attempts = encode_attempts(job, tasks);
  if (!attempts.empty()) record[field::attempts] = std::move(attempts);
}

void decode_finished_range(job& job, const json& range) {
  const auto first = element<std::uint32_t>(range, field::done, 0);
  const auto last = element<std::uint32_t>(range, field::done, 1);
  if (first > last || last >= job.spec().tasks)
    throw record_error(field::done, "not a range of the job's tasks");
  job.restore_done(first, last);
}

void decode_attempt(job& job, const json& item) {
  const auto task = element<std::uint32_t>(item, field::attempts, 0);
  if (task >= job.spec().tasks) throw record_error(field::attempts, "not a task of the job");
  attempt placed;
  placed.number = attempt_number(element<std::uint64_t>(item, field::attempts, 1));
  placed.machine = machine_name(element<std::string>(item, field::attempts, 2));
  placed.incarnation = worker_incarnation(element<std::uint64_t>(item, field::attempts, 3));
  placed.phase = attempt_phase::sent;  // an earlier leader may have sent the start command
  job.restore_attempt(task, placed);
}

void decode_tasks(job& job, std::size_t unit, const json& record) {
  job.restore_next_attempt(unit,
                           attempt_number(required<std::uint64_t>(record, field::next_attempt)));
  job.restore_change(unit, required<std::uint64_t>(record, field::change));
  if (record.contains(field::done)) {
    for (const auto& range : record[field::done]) decode_finished_range(job, range);
  }
  if (record.contains(field::attempts)) {
    for (const auto& item : record[field::attempts]) decode_attempt(job, item);
  }
}

void decode_dependencies(job& job, const json& record) {
  auto names = ids_of<job_id>(required<std::vector<std::string>>(record, field::dependencies));
  dependency_parts more;
  if (record.contains(field::more_dependencies)) {
    more.prefix = required_element<std::string>(record, field::more_dependencies, 0);
    more.count = required_element<std::size_t>(record, field::more_dependencies, 1);
  }
  job.wait_for(std::move(names), std::move(more));
}

/// Decodes the head's unit. The head of a large job only has the number of its own newest change:
/// its tasks are in the parts.
void decode_head_unit(job& job, const json& record, store_revision version) {
  job.set_version(0, version);
  if (!job.large()) return decode_tasks(job, 0, record);
  for (std::size_t part = 1; part < job.units().size(); ++part)
    job.mark_stored(part, job.units()[part].latest_change);
  job.restore_change(0, required<std::uint64_t>(record, field::change));
}

}  // namespace

const char* status_name(job_status status) {
  switch (status) {
    case job_status::done:
      return "done";
    case job_status::cancelled:
      return "cancelled";
    case job_status::active:
      break;
  }
  return "active";
}

json encode_head(const job& job) {
  json record = {
      {job.waiting() ? field::spec_of_waiting_job : field::spec, encode_spec(job.spec())},
      {field::created, job.created_ms()},
      {field::tasks_per_unit, job.tasks_per_unit()},
      {field::status, status_name(job.status())}};
  if (job.ready_ms() != 0) record[field::ready] = job.ready_ms();
  if (job.waiting()) {
    record[field::dependencies] = texts_of(job.dependencies());
    if (job.more_dependencies().count != 0)
      record[field::more_dependencies] = {job.more_dependencies().prefix,
                                          job.more_dependencies().count};
  }
  if (job.large()) {
    record[field::change] = job.units()[0].latest_change;
  } else {
    encode_tasks(job, 0, record);
  }
  return record;
}

job decode_head(const json& record, store_revision version) {
  const bool waiting = record.contains(field::spec_of_waiting_job);
  const char* spec_field = waiting ? field::spec_of_waiting_job : field::spec;
  job_spec spec = decode_spec(required_field(record, spec_field));
  if (spec.tasks == 0 || spec.tasks > max_tasks) throw record_error(field::tasks, "out of range");
  const auto created_ms = required<std::int64_t>(record, field::created);
  const auto tasks_per_unit = required<std::uint32_t>(record, field::tasks_per_unit);
  if (tasks_per_unit < job::min_tasks_per_unit)
    throw record_error(field::tasks_per_unit, "too small");
  job job(std::move(spec), created_ms, tasks_per_unit);
  if (waiting) decode_dependencies(job, record);
  if (record.contains(field::ready))
    job.restore_ready_time(required<std::int64_t>(record, field::ready));
  decode_head_unit(job, record, version);
  const job_status status = decode_status(required<std::string>(record, field::status));
  if (status == job_status::done) job.restore_end(terminal_state(status, job.spec().tasks));
  if (status == job_status::cancelled) job.restore_end(terminal_state(status, job.done().count()));
  return job;
}

json encode_part(const job& job, std::size_t unit) {
  json record = json::object();
  encode_tasks(job, unit, record);
  return record;
}

void decode_part(job& job, std::size_t unit, const json& record, store_revision version) {
  if (unit == 0 || unit >= job.units().size()) throw record_error({}, "not a part of its job");
  job.set_version(unit, version);
  decode_tasks(job, unit, record);
}

json encode_final(const job& job) {
  return {{field::status, status_name(job.status())}, {field::done, job.done().count()}};
}

terminal_state decode_final(const json& record) {
  const json& done = required_field(record, field::done);
  if (!done.is_number_unsigned() || done.get<std::uint64_t>() > max_tasks)
    throw record_error(field::done, "not a number of tasks");
  const job_status status = decode_status(required<std::string>(record, field::status));
  if (status == job_status::active) throw record_error(field::status, "the job has not ended");
  return {status, done.get<std::uint32_t>()};
}

std::optional<terminal_state> try_decode_final(const json& record) {
  try {
    return decode_final(record);
  } catch (const record_error&) {
    return std::nullopt;
  }
}

std::vector<json> encode_dependency_parts(const std::vector<job_id>& names,
                                          std::size_t value_bytes) {
  constexpr std::size_t name_overhead_bytes = 3;  // quotes and a comma
  std::vector<json> parts;
  std::size_t used_bytes = value_bytes;
  for (const auto& name : names) {
    const std::size_t name_bytes = name.str().size() + name_overhead_bytes;
    if (used_bytes + name_bytes > value_bytes) {
      parts.push_back(json::array());
      used_bytes = 0;
    }
    parts.back().push_back(name.str());
    used_bytes += name_bytes;
  }
  return parts;
}

std::vector<job_id> decode_dependency_part(const json& record) {
  const auto is_text = [](const json& item) { return item.is_string(); };
  if (!record.is_array() || !std::all_of(record.begin(), record.end(), is_text))
    throw record_error({}, "not a list of names");
  return ids_of<job_id>(record.get<std::vector<std::string>>());
}

}  // namespace gingerdrift::job_store
