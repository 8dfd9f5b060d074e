#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/transport.hpp"
#include "store/rate_budget.hpp"

namespace gingerdrift::store {

using json = nlohmann::json;

/// Fields of records that may not be what they should be: empty or 0 then, never an exception.
std::string text_field(const json& record, const char* field);
std::uint64_t number_field(const json& record, const char* field);

struct entry {
  std::string key;
  json value;
  std::uint64_t version = 0;
};

/// Status 0: no answer, the request may still be executed. 429 also stands for our own budget.
struct result {
  int status = 0;
  std::uint64_t revision = 0;
  std::vector<entry> entries;       // get: one; list: a page; watch: the changes
  std::vector<std::string> failed;  // txn: keys whose condition failed
  std::uint64_t lease = 0;
  bool more = false;
  time_point sent{};
  bool ok() const { return status == 200; }
};
using result_fn = std::function<void(const result&)>;

struct condition {
  std::string key;
  std::uint64_t version = 0;
};
struct operation {
  std::string key;
  json value;  // discarded: delete
  std::uint64_t lease = 0;
  bool erase = false;
};

/// The state service's interface, within a request budget. Wire names end here.
class client {
 public:
  client(net::runtime& runtime, std::string address, double rps, double write_rps, double user_rps);

  void get(const std::string& key, result_fn done);
  /// For users' questions: within a budget of its own, so that however many ask, elections and
  /// lease renewals still get through.
  void get_for_user(const std::string& key, result_fn done);
  void list(const std::string& prefix, const std::string& after, result_fn done);
  void txn(const std::vector<condition>& conditions, const std::vector<operation>& operations,
           result_fn done);
  void grant(duration ttl, result_fn done);
  void renew(std::uint64_t lease, duration deadline, result_fn done);
  void drop(std::uint64_t lease, result_fn done);
  void watch(const std::string& prefix, std::uint64_t from, duration wait, result_fn done);

  /// What the leader's records may take now; a little is left for submissions.
  double writes_for_records();
  /// The leader does most of the writing.
  void set_write_rate(double per_second);
  /// Last time anything but silence or 503 came back.
  time_point last_answer() const { return last_answer_; }
  time_point last_failure() const { return last_failure_; }

 private:
  void send(const std::string& method, const std::string& target, std::string body,
            duration deadline, double writes, result_fn done);

  net::runtime& runtime_;
  std::string address_;
  rate_budget requests_;
  rate_budget writes_;
  rate_budget for_users_;
  time_point last_answer_{};
  time_point last_failure_{};
};

}  // namespace gingerdrift::store
