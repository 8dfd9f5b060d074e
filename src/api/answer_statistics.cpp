#include "api/answer_statistics.hpp"

namespace gingerdrift::api {

namespace {

template <typename counter>
nlohmann::json counts_by_name(const counter& counts) {
  nlohmann::json result = nlohmann::json::object();
  counts.for_each_counted(
      [&](auto value, std::uint64_t count) { result[log_value(value)] = count; });
  return result;
}

template <typename counter>
void append_increases(const counter& now, const counter& earlier, const std::string& prefix,
                      std::string& fields) {
  now.for_each_counted([&](auto value, std::uint64_t count) {
    const std::uint64_t increase = count - earlier.count(value);
    if (increase == 0) return;
    if (!fields.empty()) fields += ' ';
    fields += prefix + log_value(value) + '=' + std::to_string(increase);
  });
}

}  // namespace

nlohmann::json answer_statistics::summary() const {
  return {{"answers", counts_by_name(answers)},
          {"forwarding_failures", counts_by_name(forwarding_failures)},
          {"retries", counts_by_name(retries)},
          {"late_responses", late_responses}};
}

std::string answer_statistics::failures_since(const answer_statistics& earlier) const {
  std::string fields;
  append_increases(retries, earlier.retries, "", fields);
  append_increases(forwarding_failures, earlier.forwarding_failures, "forward_", fields);
  const std::uint64_t late = late_responses - earlier.late_responses;
  if (late > 0)
    fields += (fields.empty() ? "late_responses=" : " late_responses=") + std::to_string(late);
  return fields;
}

const char* log_value(answer_source source) {
  switch (source) {
    case answer_source::terminal_state_cache:
      return "terminal_state_cache";
    case answer_source::leader_memory:
      return "leader_memory";
    case answer_source::leader_response:
      return "leader_response";
    case answer_source::stored_record:
      break;
  }
  return "stored_record";
}

const char* log_value(forwarding_failure failure) {
  switch (failure) {
    case forwarding_failure::no_response:
      return "no_response";
    case forwarding_failure::refused:
      return "refused";
    case forwarding_failure::outdated:
      break;
  }
  return "outdated";
}

}  // namespace gingerdrift::api
