// Tests whether the machine types come from the cloud or from the store.
#include "daemon/machine_type_cache.hpp"

#include <gtest/gtest.h>

#include "cloud/codec.hpp"
#include "support/state_service.hpp"

namespace gingerdrift::testing {

namespace {
class machine_type_cache_test : public ::testing::Test {
 protected:
  machine_type_cache_test() {
    net.serve("cloud", "cloud:1", [this](const net::request&, const net::reply_fn& reply) {
      ++cloud_calls;
      reply(cloud_response);
    });
  }
  static net::response types_response(const std::string& type_name) {
    admission::machine_type type;
    type.name = type_name;
    return {200, cloud::encode_machine_types({type}), std::nullopt, false};
  }
  static net::response unavailable_response() { return {503, "", std::nullopt, false}; }
  /// Returns the names of the types in the cache.
  std::vector<std::string> cached_names() const {
    std::vector<std::string> names;
    for (const auto& type : types.types()) names.push_back(type.name);
    return names;
  }
  void store_types(const std::string& type_name) {
    const auto record = kvstore::json::parse(types_response(type_name).body);
    store.txn({}, {{"gd/types", record, 0, false}}, [](const kvstore::result&) {});
    net.run_for(milliseconds(20));
  }
  void start() {
    types.start();
    net.run_for(seconds(1));
  }

  sim_net net{1};
  state_service state{net, "state:1"};
  sim_runtime runtime{net, "node-0"};
  kvstore::client store{runtime, "state:1", {100, 50, 8, 24}, std::nullopt, {1, 1, 1}};
  net::response cloud_response = unavailable_response();
  int cloud_calls = 0;
  daemon::machine_type_cache types{runtime, store, "cloud:1"};
};

using names = std::vector<std::string>;
}  // namespace

TEST_F(machine_type_cache_test, stores_the_types_first_fetched) {
  cloud_response = types_response("g8");
  start();
  EXPECT_EQ(cached_names(), names{"g8"});
  ASSERT_NE(state.peek("gd/types"), nullptr);
  EXPECT_EQ(*state.peek("gd/types"), kvstore::json::parse(cloud_response.body));
}

TEST_F(machine_type_cache_test, uses_stored_types_while_the_cloud_is_down) {
  store_types("g8");
  start();
  EXPECT_EQ(cached_names(), names{"g8"});
}

TEST_F(machine_type_cache_test, prefers_the_clouds_types_to_stored_ones) {
  store_types("old");
  cloud_response = types_response("g8");
  state.hold_next_answer("/store/gd/types", milliseconds(500));
  start();
  EXPECT_EQ(cached_names(), names{"g8"});
}

TEST_F(machine_type_cache_test, retries_every_few_seconds_until_types_are_known) {
  start();
  ASSERT_EQ(cloud_calls, 1);
  cloud_response = types_response("g8");
  net.run_for(seconds(3));
  EXPECT_EQ(cloud_calls, 2);
  EXPECT_EQ(cached_names(), names{"g8"});
}

TEST_F(machine_type_cache_test, keeps_the_types_when_a_later_fetch_returns_none) {
  cloud_response = types_response("g8");
  start();
  cloud_response.body = cloud::encode_machine_types({});
  net.run_for(seconds(180));
  EXPECT_GE(cloud_calls, 2);
  EXPECT_EQ(cached_names(), names{"g8"});
}

}  // namespace gingerdrift::testing
