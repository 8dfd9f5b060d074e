// Shows that each rule check detects a violation: simulated machines and answers break the rules,
// with no controller involved.
#include <gtest/gtest.h>

#include "support/sim_service.hpp"

namespace gingerdrift::testing {

namespace {

/// Replaces the controllers by one fake server whose answers each test chooses. The fleet has three
/// machines: an on-demand and a spot machine in zone a, and an on-demand machine in zone b.
class rule_checks : public ::testing::Test {
 protected:
  rule_checks() : site(net, {}, {"node-0:1"}) {
    site.limits = {{"red", 8}};
    net.serve("node-0", "node-0:1",
              [this](const net::request& request, const net::reply_fn& reply) {
                if (request.target == "/v1/report") {
                  answer_heartbeat(request, reply);
                } else {
                  answer(request, reply);
                }
              });
    answer = [](const net::request&, const net::reply_fn& reply) {
      reply(json_response(201, {{"status", "pending"}}));
    };
    for (int i = 0; i < 3; ++i) site.fleet.add_booted_machine(i == 2 ? "b" : "a", i == 1);
    for (const auto& [name, machine] : site.fleet.machines()) machine_names.push_back(name);
  }

  /// Returns an array job of the team "red" that runs longer than any test.
  static sim_job long_job(const std::string& id, std::uint32_t tasks = 2) {
    return basic_job(id, "red", tasks, 400);
  }
  void submit(const sim_job& job) {
    site.submit(job);
    net.run_for(seconds(1));
  }
  void submit(const std::string& id, std::uint32_t tasks = 2) { submit(long_job(id, tasks)); }
  void submit_dependent(const std::string& id, const std::string& needed) {
    sim_job job = long_job(id, 1);
    job.dependencies = {needed};
    submit(job);
  }
  /// Sends a machine the command to start a task, and waits until the task runs.
  void run_task(std::size_t machine, const std::string& task, int attempt = 1) {
    commands[machine_names[machine]].push_back(
        {{"verb", "run"}, {"piece", task}, {"try", attempt}});
    net.run_for(seconds(6));
  }
  /// From now on answers every request with this HTTP status and job state.
  void answer_with(int status, const std::string& state) {
    answer = [status, state](const net::request&, const net::reply_fn& reply) {
      reply(json_response(status, {{"status", state}}));
    };
  }
  /// From now on answers requests about the job `id` with `state`, and all others with
  /// `other_state`.
  void answer_by_job(const std::string& id, const std::string& state,
                     const std::string& other_state) {
    answer = [id, state, other_state](const net::request& request, const net::reply_fn& reply) {
      const bool is_named = request.target.find(id) != std::string::npos;
      reply(json_response(200, {{"status", is_named ? state : other_state}}));
    };
  }
  /// Reports whether a violation whose text begins with `rule` was recorded.
  bool violated(const std::string& rule) const { return site.violations.contains(rule); }
  /// Runs the job's first task on the first machine, which is allowed, and the second task on
  /// `wrong_machine`. Expects a violation for the second task only.
  void expect_wrong_place(const sim_job& job, std::size_t wrong_machine) {
    site.submit(job);
    run_task(0, job.id + "/0");
    EXPECT_FALSE(violated("wrong_place")) << job.id;
    run_task(wrong_machine, job.id + "/1", 2);
    EXPECT_TRUE(violated("wrong_place")) << job.id;
  }

  static constexpr std::size_t spot_machine = 1;
  static constexpr std::size_t machine_in_other_zone = 2;

  sim_net net{1};
  sim_site site;
  std::vector<std::string> machine_names;
  std::map<std::string, json> commands;  // to be sent, by machine
  std::function<void(const net::request&, const net::reply_fn&)> answer;

 private:
  void answer_heartbeat(const net::request& request, const net::reply_fn& reply) {
    const auto machine = json::parse(request.body).at("host").get<std::string>();
    json pending = std::exchange(commands[machine], json::array());
    if (pending.is_null()) pending = json::array();
    reply(json_response(200, {{"baton", 1}, {"orders", pending}}));
  }
};

}  // namespace

TEST_F(rule_checks, report_ran_twice_if_a_task_runs_on_two_machines) {
  submit("run-1");
  run_task(0, "run-1/0");
  EXPECT_FALSE(violated("ran_twice"));
  run_task(2, "run-1/0", 2);
  EXPECT_TRUE(violated("ran_twice"));
}

TEST_F(rule_checks, report_quota_if_a_team_exceeds_its_limit) {
  sim_job job = long_job("run-1");
  job.gpus = 8;
  site.submit(job);
  run_task(0, "run-1/0");
  EXPECT_FALSE(violated("quota"));
  run_task(2, "run-1/1");
  EXPECT_TRUE(violated("quota"));
}

TEST_F(rule_checks, report_wrong_place_if_a_one_zone_job_runs_in_two_zones) {
  sim_job job = long_job("run-1", 3);
  job.one_zone = job.spot = true;
  expect_wrong_place(job, machine_in_other_zone);
}

TEST_F(rule_checks, report_wrong_place_if_an_on_demand_job_runs_on_a_spot_machine) {
  expect_wrong_place(long_job("run-2", 3), spot_machine);
}

TEST_F(rule_checks, report_wrong_place_if_a_job_runs_outside_its_required_zone) {
  sim_job job = long_job("run-3", 3);
  job.zone = "a";
  expect_wrong_place(job, machine_in_other_zone);
}

TEST_F(rule_checks, report_wrong_place_if_a_spread_job_has_too_many_tasks_in_a_zone) {
  sim_job job = long_job("run-4", 2);
  job.spread = job.spot = true;
  expect_wrong_place(job, spot_machine);
}

TEST_F(rule_checks, report_ran_cancelled_after_the_timeout_also_on_a_hanging_machine) {
  for (const bool hangs : {false, true}) {
    const std::string id = hangs ? "run-2" : "run-1";
    auto& machine = site.fleet.machine(machine_names[0]);
    submit(id);
    run_task(0, id + "/0");
    answer_with(200, "cancelled");
    site.users.cancel(id);
    net.run_for(seconds(10));
    if (hangs) machine.hang(seconds(8));
    net.run_for(seconds(3));
    EXPECT_FALSE(violated("ran_cancelled"));
    net.run_for(seconds(2));
    EXPECT_TRUE(violated("ran_cancelled"));
    site.violations.clear();
    answer_with(200, "pending");
    machine.drop_tasks();
  }
}

TEST_F(rule_checks, report_a_start_command_after_a_confirmed_cancellation) {
  submit("run-1");
  answer_with(200, "cancelled");
  site.users.cancel("run-1");
  net.run_for(seconds(2));
  EXPECT_FALSE(violated("start after its cancellation"));
  run_task(0, "run-1/0");
  EXPECT_TRUE(violated("start after its cancellation"));
}

TEST_F(rule_checks, report_too_early_if_a_job_starts_before_its_dependency_is_done) {
  submit("run-1", 1);
  submit_dependent("run-2", "run-1");
  run_task(0, "run-2/0");
  EXPECT_TRUE(violated("too_early run-2"));
}

TEST_F(rule_checks, report_orphaned_jobs_and_their_tasks_after_an_ancestor_was_cancelled) {
  submit("run-1", 1);
  submit_dependent("run-2", "run-1");
  submit_dependent("run-3", "run-2");
  run_task(0, "run-3/0");
  answer_by_job("run-1", "cancelled", "pending");
  site.users.cancel("run-1");
  net.run_for(seconds(13));
  EXPECT_FALSE(violated("orphaned"));
  EXPECT_FALSE(violated("ran_cancelled with another"));
  net.run_for(seconds(4));
  EXPECT_TRUE(violated("orphaned run-3"));
  EXPECT_TRUE(violated("ran_cancelled with another run-3"));
}

TEST_F(rule_checks, report_went_back_if_the_dependent_of_a_done_job_is_cancelled) {
  submit("run-1", 1);
  submit_dependent("run-2", "run-1");
  site.fleet.mark_done({"run-1", 0});
  answer_by_job("run-1", "done", "cancelled");
  site.users.cancel("run-1");
  net.run_for(seconds(4));
  site.check_outcome();
  EXPECT_TRUE(violated("went_back run-2 cancelled with nobody"));
}

TEST_F(rule_checks, report_forgotten_if_an_accepted_job_is_not_found) {
  submit("run-1");
  answer_with(404, "");
  net.run_for(seconds(3));
  EXPECT_TRUE(violated("forgotten run-1"));
}

TEST_F(rule_checks, report_forgotten_if_a_repeated_submission_is_refused) {
  submit("run-1");
  answer_with(422, "");
  site.probes.send_unexpected_requests_for(seconds(60));
  net.run_for(seconds(60));
  EXPECT_TRUE(violated("forgotten: refused run-1"));
}

TEST_F(rule_checks, report_forgotten_if_polls_fail_for_75_s) {
  submit("run-1");
  answer_with(503, "");
  site.progress_checks.expect_progress();
  net.run_for(seconds(74));
  EXPECT_FALSE(violated("forgotten"));
  net.run_for(seconds(3));
  EXPECT_TRUE(violated("forgotten: no answer run-1"));
}

TEST_F(rule_checks, report_not_done_if_an_unfinished_job_is_called_done) {
  submit("run-1");
  answer_with(200, "done");
  net.run_for(seconds(3));
  EXPECT_TRUE(violated("not_done run-1"));
}

TEST_F(rule_checks, report_went_back_if_a_job_is_cancelled_without_a_request) {
  submit("run-1");
  answer_with(200, "cancelled");
  net.run_for(seconds(3));
  EXPECT_TRUE(violated("went_back run-1 cancelled by nobody"));
}

TEST_F(rule_checks, report_went_back_if_a_job_runs_after_a_final_state) {
  submit("run-1");
  site.users.cancel("run-1");
  answer_with(200, "cancelled");
  net.run_for(seconds(3));
  EXPECT_FALSE(violated("went_back"));
  answer_with(200, "running");
  net.run_for(seconds(3));
  EXPECT_TRUE(violated("went_back run-1 cancelled -> running"));
}

TEST_F(rule_checks, report_went_back_if_final_states_differ_also_for_an_earlier_request) {
  submit("run-1");
  answer = [this](const net::request& request, const net::reply_fn& reply) {
    const bool is_cancellation = request.target.ends_with("/withdraw");
    const duration delay = is_cancellation ? milliseconds(0) : milliseconds(300);
    net.after(delay, [is_cancellation, reply] {
      reply(json_response(200, {{"status", is_cancellation ? "cancelled" : "done"}}));
    });
  };
  net.run_for(milliseconds(1100));  // until a poll is in flight
  site.users.cancel("run-1");
  net.run_for(seconds(1));
  EXPECT_TRUE(violated("went_back run-1 cancelled -> done"));
}

TEST_F(rule_checks, report_went_back_if_a_single_request_path_returns_an_older_state) {
  site.probes.query_all_controllers_for(seconds(60));
  for (const std::string stale_request :
       {"GET /work/run-1", "POST /work", "POST /work/run-3/withdraw"}) {
    const std::string id = stale_request.ends_with("/work")
                               ? "run-2"
                               : stale_request.substr(stale_request.find("run-"), 5);
    answer_with(201, "pending");
    submit(id);
    bool answered_final = false;
    answer = [&answered_final, stale_request](const net::request& request,
                                              const net::reply_fn& reply) {
      const bool is_stale =
          answered_final && request.method + " " + request.target == stale_request;
      answered_final = true;
      reply(json_response(200, {{"status", is_stale ? "pending" : "cancelled"}}));
    };
    site.users.cancel(id);
    net.run_for(seconds(1));
    EXPECT_TRUE(violated("went_back " + id + " cancelled -> pending")) << stale_request;
  }
}

TEST_F(rule_checks, report_went_back_if_an_answered_final_state_is_not_stored) {
  submit("run-1");
  site.users.cancel("run-1");
  std::string stored = "cancelled";
  site.answer_checks.stored_final_state = [&stored](const std::string&) { return stored; };
  answer_with(200, "cancelled");
  net.run_for(seconds(3));
  EXPECT_FALSE(violated("went_back"));
  stored = "";
  submit("run-2");
  site.users.cancel("run-2");
  net.run_for(seconds(3));
  EXPECT_TRUE(violated("went_back run-2 told cancelled"));
}

TEST(stored_record_checks, report_changed_final_records_and_heads_stored_after_the_end) {
  sim_service service(1);
  const auto write = [&service](const std::string& key, const json& value) {
    ASSERT_EQ(service.write_record(key, value), 200) << key;
  };
  const auto violated = [&service](const std::string& rule) {
    return service.violations().find(rule) != std::string::npos;
  };
  write("gd/final/run-1", {{"status", "done"}, {"done", 1U}});
  EXPECT_EQ(service.violations(), "");
  write("gd/final/run-1", {{"status", "cancelled"}, {"done", 1U}});
  EXPECT_TRUE(violated("final record changed gd/final/run-1"));
  write("gd/job/run-1", {{"status", "active"}});
  EXPECT_TRUE(violated("stored anew after its end gd/job/run-1"));
}

TEST_F(rule_checks, report_answers_about_unknown_jobs_and_acceptance_of_impossible_jobs) {
  submit("run-1");
  answer_with(200, "pending");
  site.probes.send_unexpected_requests_for(seconds(8));
  net.run_for(seconds(9));
  EXPECT_TRUE(violated("invented"));
  EXPECT_TRUE(violated("accepted what can't run"));
  EXPECT_GE(site.event_counts["unexpected_requests"], 16U);
}

TEST_F(rule_checks, report_waits_beside_capacity_if_a_job_could_start_for_90_s) {
  submit("run-1");
  site.progress_checks.expect_progress();
  net.run_for(seconds(89));
  EXPECT_FALSE(violated("waits beside capacity"));
  net.run_for(seconds(4));
  EXPECT_TRUE(violated("waits beside capacity run-1"));
}

TEST_F(rule_checks, accept_a_waiting_job_while_its_team_is_at_its_limit) {
  submit("run-1");
  site.progress_checks.expect_progress();
  site.limits["red"] = 0;
  net.run_for(seconds(100));
  EXPECT_FALSE(violated("waits beside capacity"));
}

TEST_F(rule_checks, report_served_if_too_few_jobs_of_a_team_or_of_the_largest_ones_begin_in_time) {
  submit("run-1", 6);
  submit("run-2", 2);
  submit("run-3", 2);
  run_task(0, "run-2/0");
  site.check_outcome();
  EXPECT_TRUE(violated("served: under half of team red"));
  EXPECT_TRUE(violated("served: under half of largest arrays"));
  site.violations.clear();
  run_task(0, "run-3/0", 2);
  net.run_for(seconds(230));
  run_task(0, "run-1/0", 3);
  site.check_outcome();
  EXPECT_FALSE(violated("served: under half of team red"));
  EXPECT_TRUE(violated("served: under half of largest arrays"))
      << "the largest array began more than four minutes after its submission";
}

}  // namespace gingerdrift::testing
