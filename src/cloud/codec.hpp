#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/types.hpp"

namespace gingerdrift::cloud {

/// Status of a machine in the cloud's list.
enum class machine_status : std::uint8_t { starting, running, failed };

/// An entry in the cloud's list of machines.
struct listed_machine {
  machine_name name;
  std::string address;
  admission::pool pool;
  machine_status status = machine_status::starting;
  duration age{};  // time since the machine was rented
};

/// A page of the cloud's list of machines.
struct machine_page {
  std::vector<listed_machine> machines;
  bool has_more = false;  // whether another page follows
};

// The decoders return nullopt if the text does not conform to the cloud's API.

/// Decodes the machine types that the cloud offers.
std::optional<std::vector<admission::machine_type>> decode_machine_types(const std::string& text);
/// Decodes a page of the list of machines.
std::optional<machine_page> decode_machine_page(const std::string& text);
/// Decodes the names of the machines that a rental request has rented. There may be fewer than were
/// requested.
std::optional<std::vector<machine_name>> decode_rental_response(const std::string& text);
/// Reports whether the body of an error response states that the cloud has no capacity.
bool is_no_capacity_error(const std::string& text);

/// Encodes a rental request.
std::string encode_rental_request(const std::string& idempotency_key, const admission::pool& pool,
                                  std::uint32_t count);
/// Encodes a request that returns machines to the cloud.
std::string encode_release_request(const std::vector<machine_name>& names);
/// Encodes machine types in the format that decode_machine_types() accepts.
std::string encode_machine_types(const std::vector<admission::machine_type>& types);

}  // namespace gingerdrift::cloud
