#include "job_store/record_keys.hpp"

#include <charconv>

namespace gingerdrift::job_store {

namespace {

constexpr char part_separator = '/';

/// Returns the part of the key after `prefix`, or nothing if the key has another prefix or consists
/// of the prefix only.
std::optional<std::string> suffix_of(const std::string& key, const std::string& prefix) {
  if (key.rfind(prefix, 0) != 0 || key.size() == prefix.size()) return std::nullopt;
  return key.substr(prefix.size());
}

std::optional<job_id> job_after_prefix(const std::string& key, const char* prefix) {
  auto name = suffix_of(key, prefix);
  if (!name) return std::nullopt;
  return job_id(std::move(*name));
}

std::optional<unit_id> unit_of_part_key(const std::string& key) {
  const auto name = suffix_of(key, part_prefix);
  if (!name) return std::nullopt;
  const auto separator = name->rfind(part_separator);
  if (separator == std::string::npos) return std::nullopt;
  unit_id unit{job_id(name->substr(0, separator)), 0};
  const char* last = name->data() + name->size();
  const auto parsed = std::from_chars(name->data() + separator + 1, last, unit.index);
  if (parsed.ec != std::errc() || parsed.ptr != last) return std::nullopt;
  return unit;
}

}  // namespace

std::string head_key(const job_id& id) { return head_prefix + id.str(); }
std::string final_key(const job_id& id) { return final_prefix + id.str(); }
std::string part_key(const job_id& id, std::size_t part) {
  return part_prefix + id.str() + part_separator + std::to_string(part);
}
std::string log_key(std::size_t slot) { return log_prefix + std::to_string(slot); }

std::string unit_key(const unit_id& unit) {
  return unit.is_head() ? head_key(unit.job) : part_key(unit.job, unit.index);
}

std::optional<unit_id> unit_of_key(const std::string& key) {
  if (auto job = job_of_head_key(key)) return unit_id{std::move(*job), 0};
  return unit_of_part_key(key);
}

std::optional<job_id> job_of_head_key(const std::string& key) {
  return job_after_prefix(key, head_prefix);
}

std::optional<job_id> job_of_final_key(const std::string& key) {
  return job_after_prefix(key, final_prefix);
}

bool is_log_key(const std::string& key) { return key.rfind(log_prefix, 0) == 0; }

std::string dependency_part_key(const dependency_parts& parts, std::size_t index) {
  return parts.prefix + std::to_string(index);
}

}  // namespace gingerdrift::job_store
