#include "support/sim_users.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gingerdrift::testing {

namespace {

constexpr auto poll_interval = seconds(2);
constexpr auto poll_deadline = seconds(2);
constexpr auto retry_interval = seconds(1);
constexpr auto request_deadline = seconds(5);
/// The interval at which a user checks whether the dependencies of a new job are accepted.
constexpr auto dependency_check_interval = milliseconds(200);

}  // namespace

const user_record& sim_users::record(const std::string& job) const {
  static const user_record none;
  const auto record = records_.find(job);
  return record == records_.end() ? none : record->second;
}

std::string sim_users::random_address(const std::vector<std::string>& addresses) {
  std::uniform_int_distribution<std::size_t> index(0, addresses.size() - 1);
  return addresses[index(context_.net.random)];
}

std::string sim_users::random_controller_address() {
  return random_address(context_.controller_addresses);
}

/// Returns a random controller that supports the job, or an empty string if there is none.
std::string sim_users::address_for(const sim_job& job) {
  if (job.dependencies.empty()) return random_controller_address();
  const auto& addresses = context_.controller_addresses;
  std::vector<std::string> supporting;
  std::copy_if(addresses.begin(), addresses.end(), std::back_inserter(supporting),
               supports_dependencies);
  return supporting.empty() ? std::string() : random_address(supporting);
}

void sim_users::submit(const sim_job& job) {
  const bool ready =
      std::all_of(job.dependencies.begin(), job.dependencies.end(),
                  [this](const std::string& dependency) { return record(dependency).has_state(); });
  if (!ready) return submit_after(dependency_check_interval, job);
  context_.jobs[job.id] = job;
  has_dependents_ = has_dependents_ || !job.dependencies.empty();
  auto& submitted_at = records_[job.id].submitted_at;
  if (!submitted_at) submitted_at = context_.net.now();
  resubmit(job.id);
}

void sim_users::submit_after(duration delay, const sim_job& job) {
  context_.net.after(delay, [this, job] { submit(job); });
}

void sim_users::resubmit(const std::string& job) {
  auto& net = context_.net;
  const std::string address = address_for(context_.jobs.at(job));
  if (address.empty()) {
    net.after(retry_interval, [this, job] { resubmit(job); });
    return;
  }
  net.call("users", address, {"POST", "/work", context_.jobs.at(job).body()}, request_deadline,
           [this, job, requested_at = net.now()](const net::response& reply) {
             submission_answered(job, reply, requested_at);
           });
}

void sim_users::submission_answered(const std::string& job, const net::response& reply,
                                    time_point requested_at) {
  auto& record = records_[job];
  if (reply.status == 201 || reply.status == 200) {
    const bool newly_accepted = !record.accepted_at;
    if (newly_accepted) record.accepted_at = context_.net.now();
    if (newly_accepted && on_milestone) on_milestone(job);
    receive(job, reply, requested_at);
    if (!std::exchange(record.polling, true)) poll_later(job);
    return;
  }
  if (reply.status == 400 || reply.status == 422) {
    context_.violations.add("forgotten: refused " + job + " " + std::to_string(reply.status));
    return;
  }
  context_.net.after(retry_interval, [this, job] { resubmit(job); });
}

void sim_users::poll_later(const std::string& job) {
  context_.net.after(poll_interval, [this, job] {
    auto& net = context_.net;
    net.call("users", random_controller_address(), {"GET", "/work/" + job, ""}, poll_deadline,
             [this, job, requested_at = net.now()](const net::response& reply) {
               poll_answered(job, reply, requested_at);
             });
  });
}

void sim_users::poll_answered(const std::string& job, const net::response& reply,
                              time_point requested_at) {
  if (reply.status == 404) context_.violations.add("forgotten " + job);
  if (reply.status == 200) {
    records_[job].polled_at = context_.net.now();
    receive(job, reply, requested_at);
  }
  poll_later(job);
}

void sim_users::cancel(const std::string& job) {
  records_[job].cancel_requested = true;
  send_cancellation(job);
}

void sim_users::cancel_after(duration delay, const std::string& job) {
  context_.net.after(delay, [this, job] { cancel(job); });
}

void sim_users::send_cancellation(const std::string& job) {
  auto& net = context_.net;
  net.call("users", random_controller_address(), {"POST", "/work/" + job + "/withdraw", ""},
           request_deadline, [this, job, requested_at = net.now()](const net::response& reply) {
             cancellation_answered(job, reply, requested_at);
           });
}

void sim_users::cancellation_answered(const std::string& job, const net::response& reply,
                                      time_point requested_at) {
  if (reply.status == 200) return receive(job, reply, requested_at);
  const auto& accepted_at = record(job).accepted_at;
  if (reply.status == 404 && accepted_at && *accepted_at <= requested_at)
    context_.violations.add("forgotten " + job);
  context_.net.after(retry_interval, [this, job] { send_cancellation(job); });
}

std::vector<sim_users::remaining_time> sim_users::running_jobs() const {
  std::map<std::string, double> longest;
  fleet_.for_each_task([&](const sim_machine&, const task_key& key, const auto& task) {
    if (task.phase != task_phase::running || record(key.job).cancel_requested) return;
    const double ran_s = to_seconds(context_.net.now() - task.started);
    longest[key.job] = std::max(longest[key.job], task.job->run_s - ran_s);
  });
  std::vector<remaining_time> running;
  running.reserve(longest.size());
  for (const auto& [job, remaining] : longest) running.push_back({job, remaining});
  std::stable_sort(running.begin(), running.end(),
                   [](const auto& a, const auto& b) { return a.seconds > b.seconds; });
  return running;
}

/// Makes at most `limit` machines with tasks of the job hang and returns their number.
std::size_t sim_users::hang_machines_of(const std::string& job, duration span, std::size_t limit) {
  std::size_t hung = 0;
  for (const auto& [name, machine] : fleet_.machines()) {
    if (hung >= limit) return hung;
    if (machine->is_hanging()) continue;
    const auto& tasks = machine->tasks();
    const bool has_task = std::any_of(tasks.begin(), tasks.end(),
                                      [&](const auto& entry) { return entry.first.job == job; });
    if (!has_task) continue;
    machine->hang(span);
    ++hung;
  }
  return hung;
}

void sim_users::cancel_running(std::size_t count, duration hang) {
  constexpr std::size_t max_hung_machines = 8;
  auto running = running_jobs();
  running.resize(std::min(running.size(), count));
  std::size_t hung = 0;
  for (const auto& [job, remaining] : running) {
    if (hang != duration::zero()) hung += hang_machines_of(job, hang, max_hung_machines - hung);
    cancel_after(from_seconds(context_.net.uniform(0, 0.2)), job);
  }
}

void sim_users::cancel_as_jobs_end(double share, duration span) {
  cancel_at_end_share_ = share;
  cancel_at_end_until_ = context_.net.now() + span;
}

void sim_users::job_done(const std::string& job) {
  auto& net = context_.net;
  if (net.now() >= cancel_at_end_until_ || net.uniform(0, 1) >= cancel_at_end_share_) return;
  // The last task has just ended, and no controller has received its result yet.
  ++context_.event_counts["cancelled_as_they_ended"];
  cancel(job);
  resubmit(job);
}

void sim_users::receive(const std::string& job, const net::response& reply,
                        time_point requested_at) {
  receive({.job = job,
           .state = json::parse(reply.body).at("status").get<std::string>(),
           .requested_at = requested_at});
}

void sim_users::receive(const state_answer& answer) {
  observer_->state_received(answer);
  auto& record = records_[answer.job];
  const bool is_final = is_final_state(answer.state);
  if (is_final && !record.first_final) {
    record.first_final = {answer.state, context_.net.now()};
    if (on_milestone) on_milestone(answer.job);
  }
  if (is_final || !record.is_finished()) record.state = answer.state;
}

bool sim_users::all_finished() const {
  return std::all_of(context_.jobs.begin(), context_.jobs.end(),
                     [this](const auto& entry) { return record(entry.first).is_finished(); });
}

std::size_t sim_users::count(const std::string& state) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [&](const auto& entry) { return entry.second.state == state; }));
}

}  // namespace gingerdrift::testing
