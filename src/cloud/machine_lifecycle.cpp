#include "cloud/machine_lifecycle.hpp"

namespace gingerdrift::cloud {

const char* text_of(termination_evidence evidence) {
  switch (evidence) {
    case termination_evidence::released:
      return "released";
    case termination_evidence::listed_as_failed:
      return "listed_as_failed";
    case termination_evidence::no_longer_listed:
      break;
  }
  return "no_longer_listed";
}

const char* text_of(release_reason reason) {
  switch (reason) {
    case release_reason::failed:
      return "failed";
    case release_reason::never_came_up:
      return "never_came_up";
    case release_reason::never_heard_from:
      return "never_heard_from";
    case release_reason::silent:
      return "silent";
    case release_reason::unreachable:
      return "unreachable";
    case release_reason::quarantined:
      return "quarantined";
    case release_reason::idle:
      break;
  }
  return "idle";
}

}  // namespace gingerdrift::cloud
