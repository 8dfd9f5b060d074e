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

/// Field names in a submission.
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
constexpr const char* checkpoint_interval_s = "snapshotS";
constexpr const char* save_s = "stashS";
constexpr const char* due_s = "dueS";
constexpr const char* dependencies = "awaits";
}  // namespace job_fields

/// Values of the field `shape`.
namespace shapes {
constexpr std::string_view array = "sweep";
constexpr std::string_view gang = "ensemble";
/// Tasks that run until the user cancels them; they are placed like the tasks of an array. PROTOCOL
/// does not list this value, but supporting it is asked for (docs/questions.md).
constexpr std::string_view service = "daemon";
}  // namespace shapes

/// Field names in responses.
namespace state_fields {
constexpr const char* id = "nameId";
constexpr const char* state = "status";
constexpr const char* tasks_done = "done";
constexpr const char* tasks_running = "running";
constexpr const char* error = "error";
}  // namespace state_fields

const std::string id_prefix = "run-";
constexpr std::size_t max_id_digits = 20;
constexpr std::size_t max_text_bytes = 200;  // also stated in an error text
constexpr std::size_t max_machine_types = 64;
constexpr double max_resource_amount = 1e6;
constexpr double max_seconds = 1e8;
constexpr std::uint32_t max_tasks = 100000;

/// Thrown if a submission is malformed. The text is shown to the user.
class malformed_submission : public std::runtime_error {
 public:
  explicit malformed_submission(const std::string& why) : std::runtime_error(why) {}
  malformed_submission(const std::string& field, const std::string& why)
      : std::runtime_error(field + " " + why) {}
};

/// Returns the value of a field, or nullptr if the field is absent or JSON null.
const json* find_non_null(const json& record, const char* field) {
  const auto position = record.find(field);
  return position == record.end() || position->is_null() ? nullptr : &*position;
}

const json& require_field(const json& record, const char* field) {
  const json* value = find_non_null(record, field);
  if (value == nullptr) throw malformed_submission(field, "is missing");
  return *value;
}

std::string parse_text(const json& record, const char* field) {
  const json& value = require_field(record, field);
  if (!value.is_string()) throw malformed_submission(field, "must be a string");
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > max_text_bytes)
    throw malformed_submission(field, "must have 1 to 200 bytes");
  return text;
}

double parse_number(const json& record, const char* field, double max) {
  const json& value = require_field(record, field);
  if (!value.is_number()) throw malformed_submission(field, "must be a number");
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < 0 || number > max)
    throw malformed_submission(field, "is out of range");
  return number;
}

double parse_amount(const json& record, const char* field) {
  return parse_number(record, field, max_resource_amount);
}

duration parse_duration(const json& record, const char* field) {
  return from_seconds(parse_number(record, field, max_seconds));
}

bool parse_flag(const json& record, const char* field) {
  const json& value = require_field(record, field);
  if (!value.is_boolean()) throw malformed_submission(field, "must be true or false");
  return value.get<bool>();
}

job_id parse_id(const json& record) {
  auto text = parse_text(record, job_fields::id);
  if (!is_valid_job_id(text))
    throw malformed_submission(job_fields::id, "must look like run-000412");
  return job_id(std::move(text));
}

/// Returns whether the job is a gang, whose tasks all have to run at the same time.
bool parse_gang(const json& record) {
  const auto shape = parse_text(record, job_fields::shape);
  if (shape == shapes::gang) return true;
  if (shape == shapes::array || shape == shapes::service) return false;
  throw malformed_submission(job_fields::shape, "must be sweep, ensemble or daemon");
}

admission::priority parse_priority(const json& record) {
  const auto name = parse_text(record, job_fields::priority);
  if (name == "production") return admission::priority::production;
  if (name == "high") return admission::priority::high;
  if (name == "standard") return admission::priority::standard;
  if (name == "low") return admission::priority::low;
  throw malformed_submission(job_fields::priority, "must be production, high, standard or low");
}

std::uint32_t parse_task_count(const json& record) {
  const json& value = require_field(record, job_fields::tasks);
  if (!value.is_number_integer())
    throw malformed_submission(job_fields::tasks, "must be a whole number");
  // The range is checked before the conversion, because the value may not fit the result type.
  const bool in_range =
      value.is_number_unsigned()
          ? value.get<std::uint64_t>() >= 1 && value.get<std::uint64_t>() <= max_tasks
          : value.get<std::int64_t>() >= 1 && value.get<std::int64_t>() <= std::int64_t{max_tasks};
  if (!in_range) throw malformed_submission(job_fields::tasks, "must be between 1 and 100000");
  return value.get<std::uint32_t>();
}

/// Returns the machine types that the job may use, or nothing if it may use any.
std::optional<std::vector<std::string>> parse_machine_types(const json& record) {
  constexpr const char* field = job_fields::machine_types;
  const json* list = find_non_null(record, field);
  if (list == nullptr) return std::nullopt;
  if (!list->is_array() || list->size() > max_machine_types)
    throw malformed_submission(field, "must be a list of at most 64 names, or null");
  std::vector<std::string> names;
  for (const auto& name : *list) {
    if (!name.is_string() || name.get_ref<const std::string&>().size() > max_text_bytes)
      throw malformed_submission(field, "must be a list of names, or null");
    names.push_back(name.get<std::string>());
  }
  return names;
}

/// Returns the jobs that have to be done before this one, without duplicates.
std::vector<job_id> parse_dependencies(const json& record) {
  constexpr const char* field = job_fields::dependencies;
  const json* list = find_non_null(record, field);
  if (list == nullptr) return {};
  if (!list->is_array()) throw malformed_submission(field, "must be a list of job ids, or null");
  std::vector<job_id> dependencies;
  std::set<std::string> seen;
  for (const auto& name : *list) {
    if (!name.is_string() || !is_valid_job_id(name.get_ref<const std::string&>()))
      throw malformed_submission(field, "must be a list of job ids, or null");
    if (seen.insert(name.get<std::string>()).second)
      dependencies.emplace_back(name.get<std::string>());
  }
  return dependencies;
}

void parse_placement(const json& record, job_store::job_spec& spec) {
  spec.need = {parse_amount(record, job_fields::cpus), parse_amount(record, job_fields::gpus),
               parse_amount(record, job_fields::memory_gb)};
  if (auto types = parse_machine_types(record)) {
    spec.any_type = false;
    spec.types = std::move(*types);
  }
  if (find_non_null(record, job_fields::zone) != nullptr)
    spec.zone = zone_name(parse_text(record, job_fields::zone));
  spec.one_zone = parse_flag(record, job_fields::one_zone);
  spec.spread = parse_flag(record, job_fields::spread);
  spec.spot = parse_flag(record, job_fields::spot);
}

/// The order of the calls determines the error text: only the first invalid field is reported.
job_store::job_spec parse_spec(const json& record) {
  job_store::job_spec spec;
  spec.id = parse_id(record);
  spec.lane = parse_text(record, job_fields::lane);
  spec.team = parse_text(record, job_fields::team);
  spec.gang = parse_gang(record);
  spec.level = parse_priority(record);
  spec.tasks = parse_task_count(record);
  parse_placement(record, spec);
  spec.image = parse_text(record, job_fields::image);
  spec.image_gb = parse_amount(record, job_fields::image_gb);
  spec.estimate = parse_duration(record, job_fields::estimate_s);
  spec.checkpoint = parse_duration(record, job_fields::checkpoint_interval_s);
  spec.save = parse_duration(record, job_fields::save_s);
  if (find_non_null(record, job_fields::due_s) != nullptr)
    spec.due = parse_duration(record, job_fields::due_s);
  return spec;
}

json parse_object(const std::string& text) {
  json record = json::parse(text, nullptr, false);
  if (record.is_discarded()) throw malformed_submission("not JSON");
  if (!record.is_object()) throw malformed_submission("not an object");
  return record;
}

parsed_submission make_parse_failure(const std::string& why) {
  parsed_submission malformed;
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

parsed_submission parse_submission(const std::string& text) {
  try {
    const json record = parse_object(text);
    parsed_submission job;
    job.spec = parse_spec(record);
    job.dependencies = parse_dependencies(record);
    return job;
  } catch (const malformed_submission& error) {
    return make_parse_failure(error.what());
  } catch (const json::exception&) {
    return make_parse_failure("malformed");
  }
}

std::string encode_state(const job_id& id, const char* state) {
  return json({{state_fields::id, id.str()}, {state_fields::state, state}}).dump();
}

std::string encode_progress(const job_id& id, const char* state, std::uint32_t done,
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
