#include "store/client.hpp"

#include <spdlog/spdlog.h>

namespace gingerdrift::store {

namespace {

constexpr auto request_deadline = milliseconds(1500);
constexpr auto list_deadline = milliseconds(4000);
/// Of the write budget, what records leave: a busy leader's would otherwise take every write as it
/// falls free, and who submits a job there would be told to come back.
constexpr double submission_share = 0.1;
constexpr double most_for_submissions = 3;

entry read_entry(const json& item) {
  return {item.at("k").get<std::string>(), item.at("data"), item.at("stamp").get<std::uint64_t>()};
}

/// Throws on anything that is not as promised; the caller then treats the answer as none.
void read_body(const std::string& text, result& out) {
  const json body = json::parse(text);
  if (!body.is_object()) throw std::invalid_argument("not an object");
  if (body.contains("epoch")) out.revision = body["epoch"].get<std::uint64_t>();
  if (body.contains("hold") && !body.contains("k")) out.lease = body["hold"].get<std::uint64_t>();
  if (body.contains("k")) {
    out.entries.push_back(read_entry(body));
    if (body.contains("hold") && !body["hold"].is_null())
      out.lease = body["hold"].get<std::uint64_t>();
  }
  if (body.contains("entries")) {
    for (const auto& item : body["entries"]) out.entries.push_back(read_entry(item));
  }
  if (body.contains("truncated")) out.more = body["truncated"].get<bool>();
  if (body.contains("failed")) out.failed = body["failed"].get<std::vector<std::string>>();
  if (body.contains("news")) {
    for (const auto& item : body["news"]) {
      entry change;
      change.version = item.at("stamp").get<std::uint64_t>();
      if (item.contains("write")) {
        change.key = item["write"].get<std::string>();
        change.value = item.at("data");
      } else {
        change.key = item.at("delete").get<std::string>();
        change.value = json(json::value_t::discarded);
      }
      out.entries.push_back(std::move(change));
    }
  }
}

}  // namespace

std::string text_field(const json& record, const char* field) {
  if (!record.is_object()) return {};
  const auto found = record.find(field);
  return found != record.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t number_field(const json& record, const char* field) {
  if (!record.is_object()) return 0;
  const auto found = record.find(field);
  return found != record.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

client::client(net::runtime& runtime, std::string address, double rps, double write_rps,
               double user_rps)
    : runtime_(runtime),
      address_(std::move(address)),
      requests_(rps),
      writes_(write_rps),
      for_users_(user_rps) {}

void client::set_write_rate(double per_second) { writes_.set_rate(runtime_.now(), per_second); }

double client::writes_for_records() {
  return writes_.available(runtime_.now()) -
         std::min(most_for_submissions, writes_.rate() * submission_share);
}

void client::send(const std::string& method, const std::string& target, std::string body,
                  duration deadline, double writes, result_fn done) {
  const time_point now = runtime_.now();
  if (requests_.available(now) < 1 || writes_.available(now) < writes) {
    runtime_.after(duration::zero(), [done = std::move(done), now] {
      result busy;
      busy.status = 429;
      busy.sent = now;
      done(busy);
    });
    return;
  }
  requests_.take(now);
  writes_.take(now, writes);
  runtime_.call(address_, {method, target, std::move(body)}, deadline,
                [this, now, writes, done = std::move(done)](const net::response& reply) {
                  result out;
                  out.status = reply.status;
                  out.sent = now;
                  if (reply.status == 200 || reply.status == 404 || reply.status == 409) {
                    try {
                      if (!reply.body.empty()) read_body(reply.body, out);
                    } catch (const std::exception& error) {
                      spdlog::error("store: malformed answer dropped: {}", error.what());
                      out = {};
                      out.sent = now;
                    }
                  }
                  const time_point moment = runtime_.now();
                  if (out.status == 0 || out.status == 503) {
                    last_failure_ = moment;
                  } else {
                    last_answer_ = moment;
                  }
                  if (out.status == 429) {
                    requests_.drain(moment);
                    // The store counts writes and requests alike: which limit it was, it won't say.
                    if (writes > 0) writes_.drain(moment);
                  }
                  done(out);
                });
}

void client::get(const std::string& key, result_fn done) {
  send("GET", "/store/" + key, {}, request_deadline, 0, std::move(done));
}

void client::get_for_user(const std::string& key, result_fn done) {
  const time_point now = runtime_.now();
  if (!for_users_.take(now)) {
    runtime_.after(duration::zero(), [done = std::move(done), now] {
      result busy;
      busy.status = 429;
      busy.sent = now;
      done(busy);
    });
    return;
  }
  get(key, std::move(done));
}

void client::list(const std::string& prefix, const std::string& after, result_fn done) {
  std::string target = "/store?under=" + prefix + "&most=200";
  if (!after.empty()) target += "&from=" + after;
  send("GET", target, {}, list_deadline, 0, std::move(done));
}

void client::txn(const std::vector<condition>& conditions, const std::vector<operation>& operations,
                 result_fn done) {
  json body = {{"if", json::array()}, {"then", json::array()}};
  for (const auto& one : conditions) body["if"].push_back({{"k", one.key}, {"stamp", one.version}});
  for (const auto& one : operations) {
    if (one.erase) {
      body["then"].push_back({{"delete", one.key}});
      continue;
    }
    json write = {{"write", one.key}, {"data", one.value}};
    if (one.lease != 0) write["hold"] = one.lease;
    body["then"].push_back(std::move(write));
  }
  send("POST", "/multi", body.dump(), request_deadline, static_cast<double>(operations.size()),
       std::move(done));
}

void client::grant(duration ttl, result_fn done) {
  const auto ms = std::chrono::duration_cast<milliseconds>(ttl).count();
  send("POST", "/leases", json({{"ttlMs", ms}}).dump(), request_deadline, 0, std::move(done));
}

void client::renew(std::uint64_t lease, duration deadline, result_fn done) {
  send("POST", "/leases/" + std::to_string(lease) + "/touch", "{}", deadline, 0, std::move(done));
}

void client::drop(std::uint64_t lease, result_fn done) {
  send("DELETE", "/leases/" + std::to_string(lease), {}, request_deadline, 0, std::move(done));
}

void client::watch(const std::string& prefix, std::uint64_t from, duration wait, result_fn done) {
  const auto ms = std::chrono::duration_cast<milliseconds>(wait).count();
  send("GET",
       "/changes?under=" + prefix + "&from=" + std::to_string(from) +
           "&holdMs=" + std::to_string(ms),
       {}, wait + seconds(3), 0, std::move(done));
}

}  // namespace gingerdrift::store
