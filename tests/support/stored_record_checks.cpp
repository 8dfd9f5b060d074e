#include "support/stored_record_checks.hpp"

namespace gingerdrift::testing {

namespace {

const std::string final_record_prefix = "gd/final/";
const std::string head_record_prefix = "gd/job/";

std::string stored_final_state(const state_service& state, const std::string& job) {
  const json* record = state.peek(final_record_prefix + job);
  if (record == nullptr) record = state.peek(head_record_prefix + job);
  if (record == nullptr || !record->contains("status")) return {};
  const auto status = record->at("status").get<std::string>();
  return status == "active" ? std::string() : status;
}

}  // namespace

void check_stored_records(state_service& state, sim_site& site) {
  state.on_change = [&state, &site](const std::string& key, const json* value) {
    const bool is_final = key.rfind(final_record_prefix, 0) == 0;
    if (is_final && state.peek(key) != nullptr)
      site.violations.add("went_back: final record changed " + key);
    const bool is_head = key.rfind(head_record_prefix, 0) == 0;
    if (!is_head || value == nullptr) return;
    if (state.peek(final_record_prefix + key.substr(head_record_prefix.size())) != nullptr)
      site.violations.add("went_back: stored anew after its end " + key);
  };
  site.answer_checks.stored_final_state = [&state](const std::string& job) {
    return stored_final_state(state, job);
  };
}

}  // namespace gingerdrift::testing
