#include "daemon/machine_type_cache.hpp"

#include <spdlog/spdlog.h>

#include "cloud/codec.hpp"

namespace gingerdrift::daemon {

namespace {
constexpr duration retry_period = seconds(3);  // while no types are known
constexpr duration refresh_period = seconds(120);
constexpr duration fetch_deadline = seconds(4);
constexpr int status_ok = 200;
const char* const types_key = "gd/types";
}  // namespace

machine_type_cache::machine_type_cache(net::runtime& runtime, kvstore::client& store,
                                       std::string cloud_address)
    : runtime_(runtime),
      store_(store),
      cloud_address_(std::move(cloud_address)),
      fetch_timer_(runtime) {}

void machine_type_cache::start() {
  load_stored_types();
  fetch();
}

void machine_type_cache::load_stored_types() {
  store_.get(types_key, guard_.wrap([this](const kvstore::result& stored) {
    if (!types_.empty() || !stored.ok() || stored.entries.empty()) return;
    const auto types = cloud::decode_machine_types(stored.entries.front().value.dump());
    if (types) types_ = *types;
  }));
}

void machine_type_cache::fetch() {
  runtime_.call(cloud_address_, {"GET", "/flavors", ""}, fetch_deadline,
                guard_.wrap([this](const net::response& response) { types_fetched(response); }));
}

void machine_type_cache::types_fetched(const net::response& response) {
  const auto types =
      response.status == status_ok ? cloud::decode_machine_types(response.body) : std::nullopt;
  if (types && !types->empty()) {
    const bool is_first_fetch = types_.empty();
    types_ = *types;
    if (is_first_fetch) store_types();
  } else if (types_.empty()) {
    spdlog::info("machine_types_unknown status={} bytes={}", response.status, response.body.size());
    load_stored_types();
  }
  fetch_timer_.start(types_.empty() ? retry_period : refresh_period, [this] { fetch(); });
}

void machine_type_cache::store_types() {
  const auto record = kvstore::json::parse(cloud::encode_machine_types(types_));
  store_.txn({}, {{types_key, record, 0, false}}, [](const kvstore::result&) {});
}

}  // namespace gingerdrift::daemon
