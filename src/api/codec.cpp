#include "api/codec.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string_view>

namespace gingerdrift::api {

using json = nlohmann::json;

namespace {

/// Names in a submission.
namespace job_fields {
constexpr const char* id = "nameId";
constexpr const char* lane = "lane";
constexpr const char* team = "crew";
constexpr const char* shape = "shape";
constexpr const char* priority = "urgency";
constexpr const char* tasks = "pieces";
constexpr const char* cpus = "vcpus";
constexpr const char* gpus = "accelerators";
constexpr const char* memory_gb = "memGb";
constexpr const char* machine_types = "flavors";
constexpr const char* zone = "yard";
constexpr const char* one_zone = "together";
constexpr const char* spread = "scatter";
constexpr const char* spot = "loaners";
constexpr const char* image = "bundle";
constexpr const char* image_gb = "imageGb";
constexpr const char* estimate_s = "guessS";
constexpr const char* checkpoint_s = "snapshotS";
constexpr const char* save_s = "stashS";
constexpr const char* due_s = "dueS";
constexpr const char* dependencies = "awaits";
}  // namespace job_fields

/// Values of the field `shape`.
namespace shapes {
constexpr std::string_view array = "sweep";
constexpr std::string_view gang = "ensemble";
/// Tasks that run until their user cancels them; placed like an array's. PROTOCOL does not name it,
/// but it is asked for (docs/questions.md).
constexpr std::string_view service = "daemon";
}  // namespace shapes

/// Names in answers about a job.
namespace state_fields {
constexpr const char* id = "nameId";
constexpr const char* state = "status";
constexpr const char* tasks_done = "done";
constexpr const char* tasks_running = "running";
constexpr const char* error = "error";
}  // namespace state_fields

const std::string id_prefix = "run-";
constexpr std::size_t max_id_digits = 20;
constexpr std::size_t max_text_bytes = 200;  // the errors name it
constexpr std::size_t max_machine_types = 64;
constexpr double max_amount = 1e6;
constexpr double max_seconds = 1e8;
constexpr std::uint32_t max_tasks = 100000;

/// The submission is malformed; the text is for its user.
class malformed_job : public std::runtime_error {
 public:
  explicit malformed_job(const std::string& why) : std::runtime_error(why) {}
  malformed_job(const std::string& field, const std::string& why)
      : std::runtime_error(field + " " + why) {}
};

/// The field's value; null where it is absent or JSON's null.
const json* find_present(const json& record, const char* field) {
  const auto position = record.find(field);
  return position == record.end() || position->is_null() ? nullptr : &*position;
}

const json& require(const json& record, const char* field) {
  const json* value = find_present(record, field);
  if (value == nullptr) throw malformed_job(field, "is missing");
  return *value;
}

std::string read_text(const json& record, const char* field) {
  const json& value = require(record, field);
  if (!value.is_string()) throw malformed_job(field, "must be a string");
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > max_text_bytes)
    throw malformed_job(field, "must have 1 to 200 bytes");
  return text;
}

double read_number(const json& record, const char* field, double max) {
  const json& value = require(record, field);
  if (!value.is_number()) throw malformed_job(field, "must be a number");
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < 0 || number > max)
    throw malformed_job(field, "is out of range");
  return number;
}

double read_amount(const json& record, const char* field) {
  return read_number(record, field, max_amount);
}

duration read_duration(const json& record, const char* field) {
  return from_seconds(read_number(record, field, max_seconds));
}

bool read_flag(const json& record, const char* field) {
  const json& value = require(record, field);
  if (!value.is_boolean()) throw malformed_job(field, "must be true or false");
  return value.get<bool>();
}

job_id read_id(const json& record) {
  auto text = read_text(record, job_fields::id);
  if (!is_valid_job_id(text)) throw malformed_job(job_fields::id, "must look like run-000412");
  return job_id(std::move(text));
}

/// Whether all tasks have to run at the same time.
bool read_gang(const json& record) {
  const auto shape = read_text(record, job_fields::shape);
  if (shape == shapes::gang) return true;
  if (shape == shapes::array || shape == shapes::service) return false;
  throw malformed_job(job_fields::shape, "must be sweep, ensemble or daemon");
}

admission::priority read_priority(const json& record) {
  const auto name = read_text(record, job_fields::priority);
  if (name == "production") return admission::priority::production;
  if (name == "high") return admission::priority::high;
  if (name == "standard") return admission::priority::standard;
  if (name == "low") return admission::priority::low;
  throw malformed_job(job_fields::priority, "must be production, high, standard or low");
}

std::uint32_t read_task_count(const json& record) {
  const json& value = require(record, job_fields::tasks);
  if (!value.is_number_integer()) throw malformed_job(job_fields::tasks, "must be a whole number");
  // Values that don't fit the result's type are refused before they are converted to it.
  const bool in_range =
      value.is_number_unsigned()
          ? value.get<std::uint64_t>() >= 1 && value.get<std::uint64_t>() <= max_tasks
          : value.get<std::int64_t>() >= 1 && value.get<std::int64_t>() <= std::int64_t{max_tasks};
  if (!in_range) throw malformed_job(job_fields::tasks, "must be between 1 and 100000");
  return value.get<std::uint32_t>();
}

/// The machine types that the job may use; nothing: any.
std::optional<std::vector<std::string>> read_machine_types(const json& record) {
  constexpr const char* field = job_fields::machine_types;
  const json* list = find_present(record, field);
  if (list == nullptr) return std::nullopt;
  if (!list->is_array() || list->size() > max_machine_types)
    throw malformed_job(field, "must be a list of at most 64 names, or null");
  std::vector<std::string> names;
  for (const auto& name : *list) {
    if (!name.is_string() || name.get_ref<const std::string&>().size() > max_text_bytes)
      throw malformed_job(field, "must be a list of names, or null");
    names.push_back(name.get<std::string>());
  }
  return names;
}

/// The jobs that have to be done first; each once, however often it is named.
std::vector<job_id> read_dependencies(const json& record) {
  constexpr const char* field = job_fields::dependencies;
  const json* list = find_present(record, field);
  if (list == nullptr) return {};
  if (!list->is_array()) throw malformed_job(field, "must be a list of job ids, or null");
  std::vector<job_id> dependencies;
  std::set<std::string> seen;
  for (const auto& name : *list) {
    if (!name.is_string() || !is_valid_job_id(name.get_ref<const std::string&>()))
      throw malformed_job(field, "must be a list of job ids, or null");
    if (seen.insert(name.get<std::string>()).second)
      dependencies.emplace_back(name.get<std::string>());
  }
  return dependencies;
}

void read_placement(const json& record, job_store::job_spec& spec) {
  spec.need = {read_amount(record, job_fields::cpus), read_amount(record, job_fields::gpus),
               read_amount(record, job_fields::memory_gb)};
  if (auto types = read_machine_types(record)) {
    spec.any_type = false;
    spec.types = std::move(*types);
  }
  if (find_present(record, job_fields::zone) != nullptr)
    spec.zone = zone_name(read_text(record, job_fields::zone));
  spec.one_zone = read_flag(record, job_fields::one_zone);
  spec.spread = read_flag(record, job_fields::spread);
  spec.spot = read_flag(record, job_fields::spot);
}

/// The first field that is wrong, in this order, is the one that the user is told of.
job_store::job_spec read_spec(const json& record) {
  job_store::job_spec spec;
  spec.id = read_id(record);
  spec.lane = read_text(record, job_fields::lane);
  spec.team = read_text(record, job_fields::team);
  spec.gang = read_gang(record);
  spec.level = read_priority(record);
  spec.tasks = read_task_count(record);
  read_placement(record, spec);
  spec.image = read_text(record, job_fields::image);
  spec.image_gb = read_amount(record, job_fields::image_gb);
  spec.estimate = read_duration(record, job_fields::estimate_s);
  spec.checkpoint = read_duration(record, job_fields::checkpoint_s);
  spec.save = read_duration(record, job_fields::save_s);
  if (find_present(record, job_fields::due_s) != nullptr)
    spec.due = read_duration(record, job_fields::due_s);
  return spec;
}

json parse_object(const std::string& text) {
  json record = json::parse(text, nullptr, false);
  if (record.is_discarded()) throw malformed_job("not JSON");
  if (!record.is_object()) throw malformed_job("not an object");
  return record;
}

parsed_job malformed_because(const std::string& why) {
  parsed_job malformed;
  malformed.format_error = why;
  return malformed;
}

}  // namespace

bool is_valid_job_id(const std::string& id) {
  if (id.rfind(id_prefix, 0) != 0) return false;
  const auto digits = id.size() - id_prefix.size();
  if (digits < 1 || digits > max_id_digits) return false;
  return id.find_first_not_of("0123456789", id_prefix.size()) == std::string::npos;
}

parsed_job parse_submission(const std::string& text) {
  try {
    const json record = parse_object(text);
    parsed_job job;
    job.spec = read_spec(record);
    job.dependencies = read_dependencies(record);
    return job;
  } catch (const malformed_job& error) {
    return malformed_because(error.what());
  } catch (const json::exception&) {
    return malformed_because("malformed");
  }
}

std::string write_state(const job_id& id, const char* state) {
  return json({{state_fields::id, id.str()}, {state_fields::state, state}}).dump();
}

std::string write_progress(const job_id& id, const char* state, std::uint32_t done,
                           std::uint32_t running) {
  return json({{state_fields::id, id.str()},
               {state_fields::state, state},
               {state_fields::tasks_done, done},
               {state_fields::tasks_running, running}})
      .dump();
}

std::string encode_error(const std::string& why) {
  return json({{state_fields::error, why}}).dump();
}

}  // namespace gingerdrift::api
