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

/// Status codes of the state service, which are those of HTTP.
namespace status_code {
/// No usable answer: a refused or lost connection, a deadline, a malformed reply. The request may
/// still be executed.
constexpr int no_answer = 0;
constexpr int ok = 200;
/// A value or a transaction is larger than the service accepts.
constexpr int too_large = 400;
constexpr int not_found = 404;
/// Some condition of a transaction does not hold.
constexpr int conflict = 409;
/// A watch starts at a revision that the service no longer keeps.
constexpr int compacted = 410;
/// The rate limit is used up: the service's, or this controller's share of it.
constexpr int rate_limited = 429;
constexpr int unavailable = 503;
}  // namespace status_code

/// A key with its value and version. As a change in a watch: a discarded value says that the key
/// was deleted.
struct entry {
  std::string key;
  json value;
  store_revision version;
};

/// The outcome of a request.
struct result {
  int status = status_code::no_answer;
  store_revision revision;
  std::vector<entry> entries;                 // get: one; list: a page; watch: the changes
  std::vector<std::string> conflicting_keys;  // transaction: keys whose condition does not hold
  std::uint64_t lease = 0;                    // 0: none
  bool more = false;                          // list: further entries follow this page
  time_point sent{};                          // when the request was sent

  bool ok() const { return status == status_code::ok; }
  bool no_answer() const { return status == status_code::no_answer; }
  bool too_large() const { return status == status_code::too_large; }
  bool not_found() const { return status == status_code::not_found; }
  bool conflict() const { return status == status_code::conflict; }
  bool compacted() const { return status == status_code::compacted; }
  bool rate_limited() const { return status == status_code::rate_limited; }
  bool unavailable() const { return status == status_code::unavailable; }
  /// Whether at least one entry was read.
  bool has_entry() const { return ok() && !entries.empty(); }
};
using result_fn = std::function<void(const result&)>;

/// A transaction is carried out only if the key has this version; version 0: the key is absent.
struct condition {
  std::string key;
  store_revision version;
};

/// A change of one key in a transaction: a put, or a delete.
struct operation {
  std::string key;
  json value;               // of a put
  std::uint64_t lease = 0;  // a put that ends with this lease; 0: none
  bool erase = false;

  static operation put(std::string key, json value, std::uint64_t lease = 0) {
    return {std::move(key), std::move(value), lease, false};
  }
  static operation remove(std::string key) { return {std::move(key), json(), 0, true}; }
};

}  // namespace gingerdrift::kvstore
