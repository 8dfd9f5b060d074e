#include "kvstore/json_fields.hpp"

namespace gingerdrift::kvstore {

using json = nlohmann::json;

std::string text_field(const json& record, const char* field) {
  if (!record.is_object()) return {};
  const auto value = record.find(field);
  return value != record.end() && value->is_string() ? value->get<std::string>() : std::string();
}

std::uint64_t number_field(const json& record, const char* field) {
  if (!record.is_object()) return 0;
  const auto value = record.find(field);
  return value != record.end() && value->is_number_unsigned() ? value->get<std::uint64_t>() : 0;
}

}  // namespace gingerdrift::kvstore
