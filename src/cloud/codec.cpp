#include "cloud/codec.hpp"

#include <spdlog/spdlog.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gingerdrift::cloud {

using json = nlohmann::json;

namespace {

/// Field names of the cloud's messages, in one namespace per kind of message.
namespace type_fields {
constexpr const char* list = "flavors";
constexpr const char* name = "label";
constexpr const char* cpus = "vcpus";
constexpr const char* gpus = "accelerators";
constexpr const char* memory_gb = "memGb";
constexpr const char* cache_gb = "localGb";
constexpr const char* fetch_gb_per_s = "pullGbPerS";
constexpr const char* price = "hourly";
constexpr const char* spot_price = "spotPrice";
constexpr const char* boot_s = "readyS";
constexpr const char* zones = "yards";
}  // namespace type_fields

namespace machine_fields {
constexpr const char* list = "hosts";
constexpr const char* name = "nameId";
constexpr const char* address = "addr";
constexpr const char* type = "flavor";
constexpr const char* zone = "yard";
constexpr const char* spot = "loaners";
constexpr const char* status = "status";
constexpr const char* age_s = "ageS";
constexpr const char* more = "truncated";
}  // namespace machine_fields

namespace rental_fields {
constexpr const char* idempotency_key = "ask";
constexpr const char* type = "flavor";
constexpr const char* zone = "yard";
constexpr const char* spot = "loaners";
constexpr const char* count = "howMany";
constexpr const char* machines = "hosts";
constexpr const char* error = "error";
constexpr const char* no_capacity = "no capacity";
}  // namespace rental_fields

/// Upper limit for prices, sizes and times; real values are far below it.
constexpr double max_amount = 1e9;

/// Thrown if a message does not conform to the cloud's API.
class malformed_message : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

double decode_amount(const json& record, const char* field) {
  const double value = record.at(field).get<double>();
  if (!std::isfinite(value) || value < 0 || value > max_amount) throw malformed_message(field);
  return value;
}

machine_status decode_status(const std::string& text) {
  if (text == "starting") return machine_status::starting;
  if (text == "running") return machine_status::running;
  if (text == "failed") return machine_status::failed;
  throw malformed_message(machine_fields::status);
}

admission::machine_type decode_machine_type(const json& record) {
  namespace fields = type_fields;
  admission::machine_type type;
  type.name = record.at(fields::name).get<std::string>();
  type.size = {decode_amount(record, fields::cpus), decode_amount(record, fields::gpus),
               decode_amount(record, fields::memory_gb)};
  type.cache_gb = decode_amount(record, fields::cache_gb);
  type.fetch_gb_per_s = decode_amount(record, fields::fetch_gb_per_s);
  type.price = decode_amount(record, fields::price);
  type.spot_price = decode_amount(record, fields::spot_price);
  type.boot = from_seconds(decode_amount(record, fields::boot_s));
  type.zones = ids_of<zone_name>(record.at(fields::zones).get<std::vector<std::string>>());
  return type;
}

listed_machine decode_listed_machine(const json& record) {
  namespace fields = machine_fields;
  listed_machine machine;
  machine.name = machine_name(record.at(fields::name).get<std::string>());
  machine.address = record.value(fields::address, std::string());
  machine.pool = {record.at(fields::type).get<std::string>(),
                  zone_name(record.at(fields::zone).get<std::string>()),
                  record.at(fields::spot).get<bool>()};
  machine.status = decode_status(record.at(fields::status).get<std::string>());
  machine.age = from_seconds(decode_amount(record, fields::age_s));
  return machine;
}

}  // namespace

std::optional<std::vector<admission::machine_type>> decode_machine_types(const std::string& text) {
  try {
    std::vector<admission::machine_type> types;
    const json message = json::parse(text);
    for (const auto& record : message.at(type_fields::list))
      types.push_back(decode_machine_type(record));
    return types;
  } catch (const std::exception& error) {
    spdlog::error("cloud_response_malformed response=machine_types error=\"{}\"", error.what());
    return std::nullopt;
  }
}

std::string encode_machine_types(const std::vector<admission::machine_type>& types) {
  namespace fields = type_fields;
  json records = json::array();
  for (const auto& type : types) {
    records.push_back({{fields::name, type.name},
                       {fields::cpus, type.size.cpus},
                       {fields::gpus, type.size.gpus},
                       {fields::memory_gb, type.size.memory_gb},
                       {fields::cache_gb, type.cache_gb},
                       {fields::fetch_gb_per_s, type.fetch_gb_per_s},
                       {fields::price, type.price},
                       {fields::spot_price, type.spot_price},
                       {fields::boot_s, to_seconds(type.boot)},
                       {fields::zones, texts_of(type.zones)}});
  }
  json message = json::object();
  message[fields::list] = std::move(records);
  return message.dump();
}

std::optional<machine_page> decode_machine_page(const std::string& text) {
  try {
    const json message = json::parse(text);
    machine_page page;
    for (const auto& record : message.at(machine_fields::list))
      page.machines.push_back(decode_listed_machine(record));
    page.has_more = message.at(machine_fields::more).get<bool>();
    return page;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<std::vector<machine_name>> decode_rental_response(const std::string& text) {
  try {
    const json message = json::parse(text);
    return ids_of<machine_name>(
        message.at(rental_fields::machines).get<std::vector<std::string>>());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

bool is_no_capacity_error(const std::string& text) {
  const json message = json::parse(text, nullptr, false);
  return message.is_object() && message.contains(rental_fields::error) &&
         message[rental_fields::error] == rental_fields::no_capacity;
}

std::string encode_rental_request(const std::string& idempotency_key, const admission::pool& pool,
                                  std::uint32_t count) {
  namespace fields = rental_fields;
  return json({{fields::idempotency_key, idempotency_key},
               {fields::type, pool.type},
               {fields::zone, pool.zone.str()},
               {fields::spot, pool.spot},
               {fields::count, count}})
      .dump();
}

std::string encode_release_request(const std::vector<machine_name>& names) {
  return json({{rental_fields::machines, texts_of(names)}}).dump();
}

}  // namespace gingerdrift::cloud
