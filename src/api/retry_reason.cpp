#include "api/retry_reason.hpp"

namespace gingerdrift::api {

const char* text_of(retry_reason reason) {
  switch (reason) {
    case retry_reason::state_service_unreachable:
    case retry_reason::state_service_budget_used_up:
      return "the state service does not answer";
    case retry_reason::state_service_unreachable_here:
      return "the state service does not answer here";
    case retry_reason::not_leader:
      return "not the leader";
    case retry_reason::no_leader:
      return "no leader answers";
    case retry_reason::machine_types_unknown:
      return "machine types are not known yet";
    case retry_reason::too_many_submissions:
      return "too many submissions";
    case retry_reason::dependencies_unsupported:
      return "not every controller supports dependencies yet";
    case retry_reason::dependencies_undecided:
      return "awaits is not looked up yet";
    case retry_reason::cancellation_not_confirmed:
      return "not confirmed yet";
    case retry_reason::just_submitted:
      return "just submitted";
    case retry_reason::state_indeterminate:
      return "its state is not settled";
    case retry_reason::record_not_found:
      return "undecided";
    case retry_reason::record_outdated:
      return "what was read is too old";
    case retry_reason::record_unreadable:
      return "the record can't be read";
    case retry_reason::records_contradict:
      break;
  }
  return "its records contradict each other";
}

const char* log_value(retry_reason reason) {
  switch (reason) {
    case retry_reason::state_service_unreachable:
      return "state_service_unreachable";
    case retry_reason::state_service_unreachable_here:
      return "state_service_unreachable_here";
    case retry_reason::state_service_budget_used_up:
      return "state_service_budget_used_up";
    case retry_reason::not_leader:
      return "not_leader";
    case retry_reason::no_leader:
      return "no_leader";
    case retry_reason::machine_types_unknown:
      return "machine_types_unknown";
    case retry_reason::too_many_submissions:
      return "too_many_submissions";
    case retry_reason::dependencies_unsupported:
      return "dependencies_unsupported";
    case retry_reason::dependencies_undecided:
      return "dependencies_undecided";
    case retry_reason::cancellation_not_confirmed:
      return "cancellation_not_confirmed";
    case retry_reason::just_submitted:
      return "just_submitted";
    case retry_reason::state_indeterminate:
      return "state_indeterminate";
    case retry_reason::record_not_found:
      return "record_not_found";
    case retry_reason::record_outdated:
      return "record_outdated";
    case retry_reason::record_unreadable:
      return "record_unreadable";
    case retry_reason::records_contradict:
      break;
  }
  return "records_contradict";
}

}  // namespace gingerdrift::api
