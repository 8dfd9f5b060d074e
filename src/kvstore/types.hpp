#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.hpp"
#include "base/time.hpp"

namespace gingerdrift::kvstore {

using json = nlohmann::json;

/// Status codes of the state service. Apart from `no_answer` they are HTTP status codes.
namespace status_code {
/// There was no usable response: the connection was refused or lost, the deadline passed, or the
/// response was malformed. The service may still execute the request.
constexpr int no_answer = 0;
constexpr int ok = 200;
/// A value or a transaction is larger than the service accepts.
constexpr int too_large = 400;
constexpr int not_found = 404;
/// At least one condition of a transaction does not hold.
constexpr int conflict = 409;
/// A watch starts at a revision that the service no longer keeps.
constexpr int compacted = 410;
/// The rate limit of the service, or this controller's share of it, is used up.
constexpr int rate_limited = 429;
constexpr int unavailable = 503;
}  // namespace status_code

/// A key with its value and version. In the changes of a watch, a value of the JSON type
/// `discarded` means that the key was deleted.
struct entry {
  std::string key;
  json value;
  store_revision version;
};

/// The outcome of a request to the state service.
struct result {
  int status = status_code::no_answer;
  store_revision revision;
  std::vector<entry> entries;  // the entry read, a page of a list, or a watch's changes
  std::vector<std::string> conflicting_keys;  // keys whose condition in a transaction does not hold
  std::uint64_t lease = 0;                    // granted, renewed, or of the entry read; 0 for none
  bool more = false;                          // whether further entries follow this page of a list
  time_point sent{};                          // time at which the request was sent

  bool ok() const { return status == status_code::ok; }
  bool no_answer() const { return status == status_code::no_answer; }
  bool too_large() const { return status == status_code::too_large; }
  bool not_found() const { return status == status_code::not_found; }
  bool conflict() const { return status == status_code::conflict; }
  bool compacted() const { return status == status_code::compacted; }
  bool rate_limited() const { return status == status_code::rate_limited; }
  bool unavailable() const { return status == status_code::unavailable; }
  /// Reports whether at least one entry was read.
  bool has_entry() const { return ok() && !entries.empty(); }
};
using result_fn = std::function<void(const result&)>;

/// Condition of a transaction: the key has this version. Version 0 requires that the key is absent.
struct condition {
  std::string key;
  store_revision version;
};

/// A change of one key in a transaction: a put or a delete.
struct operation {
  std::string key;
  json value;               // value to put; unused by a delete
  std::uint64_t lease = 0;  // lease whose end deletes the key again; 0 for none
  bool erase = false;       // whether the key is deleted

  static operation put(std::string key, json value, std::uint64_t lease = 0) {
    return {std::move(key), std::move(value), lease, false};
  }
  static operation remove(std::string key) { return {std::move(key), json(), 0, true}; }
};

}  // namespace gingerdrift::kvstore
