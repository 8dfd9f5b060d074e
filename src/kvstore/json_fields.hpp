#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace gingerdrift::kvstore {

/// Returns the string in a field of a stored record. Returns an empty string if the record is not
/// an object, or if the field is absent or not a string. Never throws.
std::string text_field(const nlohmann::json& record, const char* field);

/// Returns the unsigned integer in a field of a stored record. Returns 0 if the record is not an
/// object, or if the field is absent or not an unsigned integer. Never throws.
std::uint64_t number_field(const nlohmann::json& record, const char* field);

}  // namespace gingerdrift::kvstore
