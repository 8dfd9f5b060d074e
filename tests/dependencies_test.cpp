// Tests of submissions with dependencies: which lists are accepted, and which state is reported to
// users.
#include <gtest/gtest.h>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {

/// Sends requests to one controller and waits for its response. The job "run-1" is submitted at the
/// start and runs longer than any test.
class submissions_with_dependencies : public ::testing::Test {
 protected:
  submissions_with_dependencies() : service(5) {
    service.site.users.submit_after(seconds(5), basic_job("run-1", "red", 2, 1000));
    service.net.run_for(seconds(8));
  }
  static sim_job job_without_dependencies(const std::string& id) {
    return basic_job(id, "blue", 1, 10);
  }
  static json body(const std::string& id, const json& awaits) {
    json submission = json::parse(job_without_dependencies(id).body());
    submission["awaits"] = awaits;
    return submission;
  }
  net::response request(const std::string& method, const std::string& target,
                        const std::string& text, std::size_t node = 0) {
    net::response response;
    service.net.call("users", service.site.controller_addresses[node], {method, target, text},
                     seconds(5), [&](const net::response& reply) { response = reply; });
    service.net.run_for(seconds(5));
    return response;
  }
  int submit(const std::string& id, const json& awaits, std::size_t node = 0) {
    return request("POST", "/work", body(id, awaits).dump(), node).status;
  }
  std::string state_of(const std::string& id, std::size_t node = 0) {
    const auto response = request("GET", "/work/" + id, "", node);
    return response.status == 200 ? json::parse(response.body).at("status").get<std::string>()
                                  : std::to_string(response.status);
  }
  /// Makes a job known to the simulated machines, which run only jobs that they know.
  void register_job(const std::string& id) { service.site.jobs[id] = job_without_dependencies(id); }

  sim_service service;
};

}  // namespace

TEST_F(submissions_with_dependencies, are_rejected_with_malformed_lists) {
  for (const json& malformed_list :
       {json("run-1"), json{{"run-1", true}}, json({1, 2}), json::array({""}),
        json::array({nullptr}), json({"run-" + std::string(300, '1')}), json({"job-1"}),
        json({"run-1", 5}), json(7)}) {
    EXPECT_EQ(submit("run-50", malformed_list), 400) << malformed_list;
  }
  EXPECT_EQ(state_of("run-50"), "404");
}

TEST_F(submissions_with_dependencies, are_rejected_with_dependencies_that_were_never_accepted) {
  for (std::size_t node = 0; node < 3; ++node) {
    EXPECT_EQ(submit("run-50", {"run-1", "run-999"}, node), 422);
    EXPECT_EQ(submit("run-50", {"run-50"}, node), 422) << "a job must not depend on itself";
  }
  json unknown_jobs = json::array();
  for (int i = 0; i < 4000; ++i) unknown_jobs.push_back("run-" + std::to_string(100000 + i));
  EXPECT_EQ(submit("run-50", unknown_jobs), 422);
  EXPECT_EQ(state_of("run-50"), "404");
}

TEST_F(submissions_with_dependencies, are_stored_like_ordinary_jobs_with_null_or_empty_lists) {
  for (const json& list : {json(nullptr), json::array()}) {
    const std::string id = list.is_null() ? "run-51" : "run-52";
    register_job(id);
    EXPECT_EQ(submit(id, list), 201);
    EXPECT_NE(service.state.peek("gd/job/" + id), nullptr);
    EXPECT_TRUE(service.state.peek("gd/job/" + id)->contains("spec"));
  }
}

TEST_F(submissions_with_dependencies, are_idempotent_when_repeated_on_any_node) {
  register_job("run-50");
  EXPECT_EQ(submit("run-50", {"run-1", "run-1"}), 201) << "a list may contain duplicates";
  for (std::size_t node = 0; node < 3; ++node) {
    EXPECT_EQ(submit("run-50", {"run-1"}, node), 200);
    EXPECT_EQ(state_of("run-50", node), "pending");
  }
  request("POST", "/work/run-1/withdraw", "");
  service.net.run_for(seconds(2));
  for (std::size_t node = 0; node < 3; ++node) {
    EXPECT_EQ(state_of("run-50", node), "cancelled");
    EXPECT_EQ(submit("run-50", {"run-1"}, node), 200) << "although its dependency is cancelled";
  }
}

TEST_F(submissions_with_dependencies, are_accepted_and_then_cancelled_with_a_cancelled_dependency) {
  request("POST", "/work/run-1/withdraw", "");
  service.net.run_for(seconds(2));
  register_job("run-51");
  EXPECT_EQ(submit("run-51", {"run-1"}), 201);
  EXPECT_EQ(state_of("run-51"), "cancelled");
}

// A dependency whose record is malformed has nevertheless been accepted, so the job waits for it.
// Users who query it get a retry response (503), and never a 404.
TEST_F(submissions_with_dependencies, are_accepted_although_a_dependency_has_a_malformed_record) {
  ASSERT_EQ(service.write_record("gd/final/run-70", {{"status", "odd"}}), 200);
  ASSERT_EQ(service.write_record("gd/job/run-71", {{"spec", "odd"}}), 200);
  for (const auto* dependency : {"run-70", "run-71"}) {
    const std::string id = "run-5" + std::string(dependency).substr(4);
    register_job(id);
    EXPECT_EQ(submit(id, {dependency}), 201) << dependency;
    EXPECT_EQ(submit(id, {dependency}, 1), 503)
        << "a repeated submission, whose state can't be determined";
    EXPECT_EQ(state_of(id, 2), "503") << dependency;
    EXPECT_EQ(submit(dependency, nullptr), 503) << "can't determine the state of " << dependency;
  }
}

// The list of a repeated submission is ignored: the job keeps the dependencies that it was accepted
// with.
TEST_F(submissions_with_dependencies, keep_their_dependencies_when_repeated_with_another_list) {
  register_job("run-50");
  register_job("run-51");
  EXPECT_EQ(submit("run-50", {"run-1"}), 201);
  EXPECT_EQ(submit("run-51", nullptr), 201);
  EXPECT_EQ(submit("run-50", {"run-51"}, 1), 200);
  EXPECT_EQ(submit("run-50", nullptr, 2), 200);
  EXPECT_EQ(submit("run-50", {"run-999"}, 1), 200)
      << "not rejected for an unknown dependency either";
  service.net.run_for(seconds(20));
  EXPECT_EQ(state_of("run-51"), "done");
  EXPECT_EQ(state_of("run-50"), "pending") << "run-1 is still running";
  EXPECT_EQ(submit("run-51", {"run-50"}, 1), 200) << "after the end of the job";
  EXPECT_EQ(state_of("run-51", 2), "done");
}

TEST_F(submissions_with_dependencies, run_immediately_if_their_dependencies_ended_long_ago) {
  register_job("run-50");
  EXPECT_EQ(submit("run-50", nullptr), 201);
  service.net.run_for(seconds(20));
  ASSERT_EQ(state_of("run-50"), "done");
  for (std::size_t node = 0; node < 3; ++node) service.crash_for(node, seconds(1));
  service.net.run_for(seconds(15));
  register_job("run-51");
  EXPECT_EQ(submit("run-51", {"run-50"}, 1), 201);
  service.net.run_for(seconds(20));
  EXPECT_EQ(state_of("run-51"), "done");
}

TEST_F(submissions_with_dependencies, can_be_cancelled_while_waiting) {
  register_job("run-50");
  register_job("run-51");
  EXPECT_EQ(submit("run-50", {"run-1"}), 201);
  EXPECT_EQ(submit("run-51", {"run-50"}, 1), 201);
  const auto response = request("POST", "/work/run-50/withdraw", "", 2);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(state_of("run-50"), "cancelled");
  EXPECT_EQ(state_of("run-51"), "cancelled");
  EXPECT_EQ(state_of("run-1"), "running");
}

TEST_F(submissions_with_dependencies, are_answered_503_during_an_outage_of_the_store) {
  service.state.start_outage(seconds(30));
  for (std::size_t node = 0; node < 3; ++node) EXPECT_EQ(submit("run-50", {"run-1"}, node), 503);
}

// If the store refuses all requests of a single node, that node can't read after a restart which
// versions the controllers run, but its peers can.
TEST_F(submissions_with_dependencies, are_accepted_by_a_single_node_that_the_store_refuses) {
  const std::size_t node = (*service.leader() + 1) % 3;
  service.crash_for(node, seconds(1));
  service.net.cut(node_host(node), "state", seconds(60), sim_net::cut_mode::refuse);
  service.net.run_for(seconds(10));
  register_job("run-50");
  EXPECT_EQ(submit("run-50", {"run-1"}, node), 201);
  EXPECT_EQ(submit("run-51", {"run-999"}, node), 422);
}

// A new leader reads a chain of jobs from the records, in which each job waits for the previous
// one.
TEST_F(submissions_with_dependencies, in_a_chain_are_still_pending_after_a_failover) {
  for (std::size_t i = 50; i < 54; ++i) {
    register_job(job_name(i));
    EXPECT_EQ(submit(job_name(i), {i == 50 ? "run-1" : job_name(i - 1)}), 201);
  }
  service.crash_leader_for(seconds(2));
  service.net.run_for(seconds(12));
  for (std::size_t i = 50; i < 54; ++i) EXPECT_EQ(state_of(job_name(i)), "pending") << i;
}

// Only the leader knows all direct and indirect dependencies of a waiting job.
TEST_F(submissions_with_dependencies, are_not_reported_as_pending_without_a_leader) {
  register_job("run-50");
  EXPECT_EQ(submit("run-50", {"run-1"}), 201);
  EXPECT_EQ(state_of("run-50"), "pending");
  const auto leader = *service.leader();
  service.crash(leader);
  const auto query_status = [&] {
    net::response response;
    service.net.call("users", service.site.controller_addresses[(leader + 1) % 3],
                     {"GET", "/work/run-50", ""}, seconds(2),
                     [&](const net::response& reply) { response = reply; });
    service.net.run_for(milliseconds(100));
    return response.status;
  };
  EXPECT_EQ(query_status(), 503);
}

// The version without support for dependencies, as leader, would leave such a job waiting, and
// would report it as unknown.
TEST(submissions_during_an_upgrade,
     with_dependencies_are_accepted_once_every_controller_supports_them) {
  sim_service service(7, 3, {}, &former_version::before_dependencies());
  const sim_job first = basic_job("run-1", "red", 1, 1000);
  service.site.users.submit_after(seconds(5), first);
  service.net.run_for(seconds(10));
  sim_job dependent = first;
  dependent.id = "run-50";
  dependent.dependencies = {"run-1"};
  service.site.jobs[dependent.id] = dependent;
  const auto submit = [&] {
    int status = 0;
    service.net.call("users", service.site.controller_addresses[0],
                     {"POST", "/work", dependent.body()}, seconds(5),
                     [&](const net::response& reply) { status = reply.status; });
    service.net.run_for(seconds(5));
    return status;
  };
  service.upgrade(0, seconds(1));
  service.net.run_for(seconds(10));
  EXPECT_EQ(submit(), 503);
  service.upgrade(1, seconds(1));
  service.net.run_for(seconds(10));
  EXPECT_EQ(submit(), 503) << "one controller still runs the old version";
  EXPECT_EQ(service.state.peek("gd/job/run-50"), nullptr);
  service.upgrade(2, seconds(1));
  service.net.run_for(seconds(10));
  EXPECT_EQ(submit(), 201);
}

// A list that exceeds the size of a value is stored under keys of its own and read by the next
// leader, and the job waits for every dependency in it.
TEST_F(submissions_with_dependencies, are_accepted_with_a_list_that_exceeds_the_size_of_a_record) {
  for (int i = 0; i < 700; ++i) {
    const std::string id = "run-" + std::to_string(1000000000 + i);
    register_job(id);
    service.site.jobs[id].team = "guest";
    service.site.jobs[id].run_s = 1;
    service.site.jobs[id].gpus = 0.03;
    service.site.jobs[id].cpus = 0.05;
    service.net.after(milliseconds(100) * i,
                      [this, id] { service.site.submit(service.site.jobs.at(id)); });
  }
  service.net.run_for(seconds(72));
  json list = json::array();
  for (int i = 0; i < 700; ++i) list.push_back("run-" + std::to_string(1000000000 + i));
  list.push_back("run-1");
  register_job("run-50");
  int status = 0;
  for (int attempt = 0; attempt < 20 && status != 201 && status != 200; ++attempt)
    status = submit("run-50", list);
  EXPECT_TRUE(status == 201 || status == 200) << status;
  EXPECT_LE(service.state.largest_stored_value_bytes(), 8U << 10);
  service.crash_leader_for(seconds(2));
  service.net.run_for(seconds(90));
  EXPECT_EQ(state_of("run-50"), "pending") << "run-1 is still running";
  request("POST", "/work/run-1/withdraw", "");
  service.net.run_for(seconds(3));
  EXPECT_EQ(state_of("run-50"), "cancelled");
  EXPECT_EQ(service.state.refused_for_size(), 0U);
}

}  // namespace gingerdrift::testing
