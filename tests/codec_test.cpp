// Tests the decoding of external input (submissions, heartbeats, peer messages, cloud responses and
// stored records), and the encoding of commands and records.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "api/codec.hpp"
#include "cloud/codec.hpp"
#include "peers/codec.hpp"
#include "support/sim_site.hpp"
#include "workers/codec.hpp"

namespace gingerdrift::testing {

namespace {
/// Returns a submission that is accepted.
json valid_submission() {
  sim_job job;
  job.id = "run-7";
  job.team = "red";
  job.tasks = 5;
  return json::parse(job.body());
}
bool well_formed(const std::string& text) { return !api::parse_submission(text).format_error; }
bool well_formed_with(const std::string& field, const json& value) {
  json body = valid_submission();
  body[field] = value;
  return well_formed(body.dump());
}
std::vector<config::team> teams() { return {{"red", 0, 0, 8, 16}}; }
admission::machine_type machine_type_in(const std::vector<std::string>& zones) {
  admission::machine_type type;
  type.name = "g8";
  type.size = {64, 8, 256};
  type.zones = ids_of<zone_name>(zones);
  return type;
}
json valid_heartbeat() {
  return json::parse(
      R"({"host":"n-1","addr":"1.2.3.4:9","flavor":"g8","yard":"a","loaners":true,"shift":1,"tick":8,
          "baton":4,"warningS":12.5,"pieces":[{"piece":"run-1/3","try":2,"status":"ended","cause":"error"}]})");
}
/// Returns an array job with most of its tasks done and a hundred attempts.
job_store::job large_array() {
  json body = valid_submission();
  body["pieces"] = 100000;
  job_store::job job(api::parse_submission(body.dump()).spec, 0, 48);
  for (std::uint32_t task = 0; task < 90000; ++task) {
    if (task % 7 != 0) job.restore_done(task, task);
  }
  job_store::attempt attempt;
  attempt.number = attempt_number(3);
  attempt.machine = "n-000231";
  attempt.incarnation = worker_incarnation(2);
  for (std::uint32_t task = 90000; task < 90100; ++task) job.restore_attempt(task, attempt);
  return job;
}
}  // namespace

TEST(wire, malformed_submissions_are_detected) {
  EXPECT_TRUE(well_formed(valid_submission().dump()));
  for (const char* text : {"", "{", "[]", "3", "\"x\"", "null"})
    EXPECT_FALSE(well_formed(text)) << text;
  const json whole = valid_submission();
  for (const auto& item : whole.items()) {
    json body = whole;
    body.erase(item.key());
    const bool may_lack = item.key() == "flavors" || item.key() == "yard" || item.key() == "dueS";
    EXPECT_EQ(well_formed(body.dump()), may_lack) << item.key();
  }
  for (const json& value : {json(0), json(-1), json(100001), json(2.5), json("4"), json(1e300)})
    EXPECT_FALSE(well_formed_with("pieces", value)) << value;
  for (const json& value : {json(-0.5), json("1"), json(1e300), json(true), json(nullptr)})
    EXPECT_FALSE(well_formed_with("vcpus", value)) << value;
  for (const char* id : {"run-", "run-x", "job-1", "run-1/2", "run-123456789012345678901", ""})
    EXPECT_FALSE(well_formed_with("nameId", id)) << id;
  EXPECT_FALSE(well_formed_with("shape", "pipeline"));
  EXPECT_FALSE(well_formed_with("urgency", "extreme"));
  EXPECT_FALSE(well_formed_with("together", 1));
  EXPECT_FALSE(well_formed_with("flavors", json::array({1})));
  EXPECT_FALSE(well_formed_with("bundle", std::string(300, 'x')));
}

TEST(wire, submissions_that_can_never_run_are_rejected) {
  const auto rejection_of = [](const std::string& field, const json& value, bool gang = false) {
    json body = valid_submission();
    body["shape"] = gang ? "ensemble" : "sweep";
    body[field] = value;
    return api::find_rejection(api::parse_submission(body.dump()).spec, teams(),
                               {machine_type_in({"a"})});
  };
  using api::rejection;
  EXPECT_EQ(rejection_of("crew", "red"), std::nullopt);
  EXPECT_EQ(rejection_of("crew", "green"), rejection::unknown_team);
  EXPECT_EQ(rejection_of("accelerators", 9), rejection::no_fitting_machine_type);
  EXPECT_EQ(rejection_of("pieces", 17), std::nullopt)
      << "the tasks of an array may run one after another";
  EXPECT_EQ(rejection_of("pieces", 17, true), rejection::over_team_limit)
      << "all tasks of a gang run at the same time";
  EXPECT_EQ(rejection_of("flavors", json::array({"other"})), rejection::no_fitting_machine_type);
  EXPECT_EQ(rejection_of("yard", "z"), rejection::no_fitting_machine_type);
}

// A scattered gang needs two zones. The tasks of a scattered array may run one after another in a
// single zone.
TEST(wire, scattered_gang_is_rejected_unless_it_may_use_two_zones) {
  json body = valid_submission();
  body["pieces"] = 2;
  body["scatter"] = true;
  for (const bool gang : {true, false}) {
    body["shape"] = gang ? "ensemble" : "sweep";
    const auto may_run = [&](bool one_zone, const char* zone,
                             const std::vector<std::string>& zones) {
      body["together"] = one_zone;
      body["yard"] = zone == nullptr ? json() : json(zone);
      return !api::find_rejection(api::parse_submission(body.dump()).spec, teams(),
                                  {machine_type_in(zones)});
    };
    EXPECT_TRUE(may_run(false, nullptr, {"a", "b"}));
    EXPECT_EQ(may_run(true, nullptr, {"a", "b"}), !gang);
    EXPECT_EQ(may_run(false, "a", {"a", "b"}), !gang);
    EXPECT_EQ(may_run(false, nullptr, {"a"}), !gang);
  }
}

TEST(wire, malformed_heartbeats_are_not_decoded) {
  const auto heartbeat = workers::decode_heartbeat(valid_heartbeat().dump());
  ASSERT_TRUE(heartbeat.has_value());
  EXPECT_EQ(heartbeat->tasks.at(0).cause, workers::exit_cause::error);
  EXPECT_EQ(*heartbeat->termination_notice, from_seconds(12.5));
  json body = valid_heartbeat();
  body["pieces"][0]["piece"] = "run-1";
  EXPECT_FALSE(workers::decode_heartbeat(body.dump()).has_value());
  body = valid_heartbeat();
  body["shift"] = "1";
  EXPECT_FALSE(workers::decode_heartbeat(body.dump()).has_value());
  EXPECT_FALSE(workers::decode_heartbeat("{}").has_value());
}

TEST(wire, heartbeats_require_every_field_except_notice_and_cause) {
  for (const char* text : {"", "{", "[]", "3", "null"})
    EXPECT_FALSE(workers::decode_heartbeat(text).has_value()) << text;
  const json whole = valid_heartbeat();
  for (const auto& item : whole.items()) {
    json body = whole;
    body.erase(item.key());
    EXPECT_EQ(workers::decode_heartbeat(body.dump()).has_value(), item.key() == "warningS")
        << item.key();
  }
  for (const auto& item : whole["pieces"][0].items()) {
    json body = whole;
    body["pieces"][0].erase(item.key());
    EXPECT_EQ(workers::decode_heartbeat(body.dump()).has_value(), item.key() == "cause")
        << item.key();
  }
  json body = whole;
  body["pieces"][0]["status"] = "lost";
  EXPECT_FALSE(workers::decode_heartbeat(body.dump()).has_value());
  body["pieces"][0] = 3;
  EXPECT_FALSE(workers::decode_heartbeat(body.dump()).has_value());
  body = whole;
  body["pieces"][0]["cause"] = "unheard of";
  EXPECT_EQ(workers::decode_heartbeat(body.dump())->tasks.at(0).cause,
            workers::exit_cause::unknown);
}

TEST(wire, commands_are_encoded_with_their_wire_names) {
  using workers::command_type;
  const std::vector<workers::command> commands = {
      {command_type::start, "run-1", 3, attempt_number(2), {}},
      {command_type::stop, "run-1", 4, attempt_number(5), milliseconds(1500)},
      {command_type::acknowledge_exit, "run-2", 0, attempt_number(1), {}}};
  const json expected = json::parse(R"({"baton":4,"shift":9,"orders":[
      {"piece":"run-1/3","try":2,"verb":"run"},
      {"piece":"run-1/4","try":5,"verb":"stop","mercyS":1.5},
      {"piece":"run-2/0","try":1,"verb":"reap"}]})");
  EXPECT_EQ(workers::encode_commands(fencing_token(4), commands, worker_incarnation(9)),
            expected.dump());
  EXPECT_EQ(workers::encode_commands(fencing_token(4), {}), R"({"baton":4,"orders":[]})");
  EXPECT_EQ(workers::encode_redirect("node-1"), R"({"boss":"node-1"})");
  EXPECT_EQ(workers::encode_redirect(""), "{}");
}

TEST(wire, peer_messages_round_trip_and_truncated_ones_are_not_decoded) {
  peers::message sent;
  sent.kind = peers::message_kind::user_request;
  sent.node = "node-1";
  sent.target = "/work/run-1";
  const std::string bytes = peers::encode(sent);
  ASSERT_TRUE(peers::decode_message(bytes).has_value());
  EXPECT_EQ(peers::decode_message(bytes)->target, sent.target);
  EXPECT_FALSE(peers::decode_peer_response(bytes).has_value());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    EXPECT_FALSE(peers::decode_message(bytes.substr(0, cut)).has_value()) << cut;
}

TEST(wire, malformed_cloud_responses_are_not_decoded) {
  EXPECT_FALSE(cloud::decode_machine_types(R"({"flavors":[{"label":"g8"}]})").has_value());
  EXPECT_FALSE(cloud::decode_machine_page(R"({"hosts":[]})").has_value());
  EXPECT_FALSE(cloud::decode_rental_response(R"({"hosts":3})").has_value());
  EXPECT_TRUE(cloud::is_no_capacity_error(R"({"error":"no capacity"})"));
  EXPECT_FALSE(cloud::is_no_capacity_error(R"({"error":"trouble"})"));
  EXPECT_FALSE(cloud::is_no_capacity_error(R"({"error":7})"));
  EXPECT_FALSE(cloud::is_no_capacity_error("no JSON"));
}

TEST(wire, malformed_final_records_are_not_decoded) {
  for (const char* text : {"null", "3", "{}", R"({"status":4})", R"({"status":"lost"})"})
    EXPECT_FALSE(job_store::try_decode_final(json::parse(text)).has_value()) << text;
  const auto terminal = job_store::try_decode_final(json::parse(R"({"status":"done","done":7})"));
  ASSERT_TRUE(terminal.has_value());
  EXPECT_EQ(terminal->tasks_done(), 7U);
}

TEST(wire, large_job_is_split_into_parts_and_restored_completely) {
  const job_store::job written = large_array();
  const json head = job_store::encode_head(written);
  std::size_t biggest = head.dump().size();
  job_store::job read = job_store::decode_head(head, store_revision(1));
  for (std::size_t unit = 1; unit < written.units().size(); ++unit) {
    const json part = job_store::encode_part(written, unit);
    biggest = std::max(biggest, part.dump().size());
    job_store::decode_part(read, unit, part, store_revision(2));
  }
  EXPECT_LT(biggest, 4096U);
  EXPECT_EQ(read.done().ranges(), written.done().ranges());
  EXPECT_EQ(read.attempts().size(), 100U);
  EXPECT_EQ(read.attempts().at(90042).machine, "n-000231");
}

}  // namespace gingerdrift::testing
