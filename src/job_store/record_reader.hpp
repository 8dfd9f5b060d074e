#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>

#include "job_store/record_error.hpp"

namespace gingerdrift::job_store {

/// Calls `read`, which accesses a field of a record. If the record is malformed there, throws a
/// record_error with the name of the field.
template <typename access>
decltype(auto) read_field(const char* field, access read) {
  try {
    return read();
  } catch (const nlohmann::json::exception& error) {
    throw record_error(field, error.what());
  }
}

/// Returns the value of a mandatory field.
template <typename value_type>
value_type required(const nlohmann::json& record, const char* field) {
  return read_field(field, [&] { return record.at(field).get<value_type>(); });
}

/// Returns a mandatory field, whose value may have any type.
inline const nlohmann::json& required_field(const nlohmann::json& record, const char* field) {
  return read_field(field, [&]() -> const nlohmann::json& { return record.at(field); });
}

/// Returns an element of a mandatory field that holds a list of fixed length.
template <typename value_type>
value_type required_element(const nlohmann::json& record, const char* field, std::size_t index) {
  return read_field(field, [&] { return record.at(field).at(index).get<value_type>(); });
}

/// Returns an element of a list inside a field. `field`: name of the field for error messages.
template <typename value_type>
value_type element(const nlohmann::json& list, const char* field, std::size_t index) {
  return read_field(field, [&] { return list.at(index).get<value_type>(); });
}

}  // namespace gingerdrift::job_store
