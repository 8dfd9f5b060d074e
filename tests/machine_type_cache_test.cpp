// Where a controller takes the cloud's machine types from.
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
      ++calls;
      reply(cloud_answer);
    });
  }
  static net::response offer(const std::string& type_name) {
    admission::machine_type type;
    type.name = type_name;
    return {200, cloud::encode_machine_types({type}), std::nullopt, false};
  }
  static net::response failure() { return {503, "", std::nullopt, false}; }
  /// The names of the types that the cache knows.
  std::vector<std::string> known() const {
    std::vector<std::string> names;
    for (const auto& type : types.types()) names.push_back(type.name);
    return names;
  }
  void store_types(const std::string& type_name) {
    const auto record = kvstore::json::parse(offer(type_name).body);
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
  net::response cloud_answer = failure();
  int calls = 0;
  daemon::machine_type_cache types{runtime, store, "cloud:1"};
};

using names = std::vector<std::string>;
}  // namespace

TEST_F(machine_type_cache_test, stores_the_first_reading) {
  cloud_answer = offer("g8");
  start();
  EXPECT_EQ(known(), names{"g8"});
  ASSERT_NE(state.peek("gd/types"), nullptr);
  EXPECT_EQ(*state.peek("gd/types"), kvstore::json::parse(cloud_answer.body));
}

TEST_F(machine_type_cache_test, takes_stored_types_while_the_cloud_is_down) {
  store_types("g8");
  start();
  EXPECT_EQ(known(), names{"g8"});
}

TEST_F(machine_type_cache_test, prefers_the_clouds_types_to_stored_ones) {
  store_types("old");
  cloud_answer = offer("g8");
  state.hold_next_answer("/store/gd/types", milliseconds(500));
  start();
  EXPECT_EQ(known(), names{"g8"});
}

TEST_F(machine_type_cache_test, asks_again_every_few_seconds_until_the_types_are_known) {
  start();
  ASSERT_EQ(calls, 1);
  cloud_answer = offer("g8");
  net.run_for(seconds(3));
  EXPECT_EQ(calls, 2);
  EXPECT_EQ(known(), names{"g8"});
}

TEST_F(machine_type_cache_test, keeps_the_types_when_a_later_reading_offers_none) {
  cloud_answer = offer("g8");
  start();
  cloud_answer.body = cloud::encode_machine_types({});
  net.run_for(seconds(180));
  EXPECT_GE(calls, 2);
  EXPECT_EQ(known(), names{"g8"});
}

}  // namespace gingerdrift::testing
