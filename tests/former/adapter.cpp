// Compiled once for each former version, together with its sources. The build renames the namespace
// of each version. FORMER_RELEASE is the name of the function that gives access to the version.
// FORMER_RECORDS is the header that adapts the parts of its records interface that differ between
// versions.
#include "former_version.hpp"

#include <nlohmann/json.hpp>

#include "daemon/controller.hpp"
#include "front/wire.hpp"
#include "mesh/codec.hpp"
#include "store/job.hpp"
#include "store/start_log.hpp"
#include FORMER_RECORDS

namespace former_version {

namespace version = gingerdrift;
namespace records = gingerdrift::former_records;
using json = nlohmann::json;

namespace {

request from_version(const version::net::request& message) {
  return {message.method, message.target, message.body};
}
version::net::request to_version(const request& message) {
  return {message.method, message.target, message.body};
}
response from_version(const version::net::response& message) {
  return {message.status, message.body, message.retry_after, message.close};
}
version::net::response to_version(const response& message) {
  return {message.status, message.body, message.retry_after, message.close};
}

/// Implements the runtime interface of the former version on a host.
class host_runtime final : public version::net::runtime {
 public:
  explicit host_runtime(host& on) : host_(on) {}
  version::time_point now() override { return host_.now(); }
  version::wall_time wall_now() override { return host_.wall_now(); }
  version::net::timer_id after(version::duration delay, std::function<void()> action) override {
    return host_.after(delay, std::move(action));
  }
  void cancel(version::net::timer_id timer) override { host_.cancel(timer); }
  void call(const std::string& address, version::net::request message, version::duration deadline,
            version::net::reply_fn done) override {
    host_.call(address, from_version(message), deadline,
               [done = std::move(done)](const response& reply) { done(to_version(reply)); });
  }

 private:
  host& host_;
};

/// Runs each scheduling cycle on the calling thread and delivers its decisions after a short delay.
class inline_planner final : public version::daemon::planner {
 public:
  explicit inline_planner(version::net::runtime& runtime)
      : runtime_(runtime), runner_(version::admission::policy{}) {}
  void plan(std::uint64_t term, version::admission::snapshot snapshot,
            version::daemon::decide_fn done) override {
    static constexpr version::duration cycle_time = std::chrono::milliseconds(2);
    runtime_.after(cycle_time,
                   [this, term, snapshot = std::move(snapshot), done = std::move(done)] {
                     done(runner_.run(term, snapshot), cycle_time);
                   });
  }

 private:
  version::net::runtime& runtime_;
  version::daemon::pass_runner runner_;
};

/// A running controller of the former version.
class running_controller final : public controller {
 public:
  running_controller(host& on, const std::string& settings_file, duration pass_interval,
                     std::uint64_t seed)
      : runtime_(on), plans_(runtime_) {
    version::daemon::operator_settings rules;
    rules.pass_interval = pass_interval;
    controller_ = std::make_unique<version::daemon::controller>(
        runtime_, plans_, version::daemon::read_platform_settings(settings_file), rules, seed);
  }
  void start() override { controller_->start(); }
  void handle_front(const request& message, const reply_fn& reply) override {
    controller_->handle_front(to_version(message), [reply](const version::net::response& out) {
      reply(from_version(out));
    });
  }
  void handle_mesh(const request& message, const reply_fn& reply) override {
    controller_->handle_mesh(to_version(message), [reply](const version::net::response& out) {
      reply(from_version(out));
    });
  }
  bool leads() const override { return controller_->leads(); }

 private:
  host_runtime runtime_;
  inline_planner plans_;
  std::unique_ptr<version::daemon::controller> controller_;
};

/// Implements the access of tests to the former version.
class built_release final : public release {
 public:
  std::string name() const override { return records::release_name; }
  bool supports_dependencies() const override { return records::release_supports_dependencies; }
  bool keeps_ready_time() const override { return records::release_supports_dependencies; }

  std::unique_ptr<controller> make_controller(host& on, const std::string& settings_file,
                                              duration pass_interval,
                                              std::uint64_t seed) const override {
    return std::make_unique<running_controller>(on, settings_file, pass_interval, seed);
  }

  std::optional<std::string> rewrite_head(
      const std::string& record, const std::vector<std::string>& parts,
      std::vector<std::string>& rewritten_parts) const override {
    try {
      auto head = version::store::read_head(json::parse(record), 1);
      for (std::size_t i = 0; i < parts.size(); ++i)
        version::store::read_part(head, i + 1, json::parse(parts[i]), 1);
      for (std::size_t i = 0; i < parts.size(); ++i)
        rewritten_parts.push_back(version::store::write_part(head, i + 1).dump());
      return version::store::write_head(head).dump();
    } catch (const std::exception&) {
      return std::nullopt;
    }
  }

  std::string accept(const std::string& submission, std::int64_t created_ms,
                     double value_kb) const override {
    return records::accepted_head(version::front::read_job(submission).spec, created_ms, value_kb)
        .dump();
  }

  std::optional<std::string> rewrite_final(const std::string& record) const override {
    const auto end = version::store::read_final(json::parse(record));
    if (!end) return std::nullopt;
    version::store::job ended;
    ended.status = records::status_of(*end);
    const auto tasks_done = records::tasks_done_of(*end);
    if (tasks_done > 0) ended.done.insert_range(0, tasks_done - 1);
    return version::store::write_final(ended).dump();
  }

  std::vector<std::string> read_log_jobs(const std::string& key,
                                         const std::string& record) const override {
    version::store::start_log log(8000);
    std::vector<std::string> jobs;
    for (const auto& start : log.read({key, json::parse(record), 1})) jobs.push_back(start.job);
    return jobs;
  }

  std::string encode_heartbeat(const std::string& node) const override {
    version::mesh::message message;
    message.kind = version::mesh::kind::beat;
    message.node = node;
    return version::mesh::encode(message);
  }

  std::string encode_new_job(const std::string& node, const std::string& job) const override {
    version::mesh::message message;
    message.kind = version::mesh::kind::new_job;
    message.node = node;
    message.job = job;
    return version::mesh::encode(message);
  }

  std::string encode_user_request(const std::string& node,
                                  const request& user_request) const override {
    version::mesh::message message;
    message.kind = version::mesh::kind::user;
    message.node = node;
    message.method = user_request.method;
    message.target = user_request.target;
    message.body = user_request.body;
    return version::mesh::encode(message);
  }

  std::string encode_answer(const response& message, const std::string& leader,
                            std::uint64_t token) const override {
    version::mesh::answer answer;
    answer.status = message.status;
    answer.body = message.body;
    if (message.retry_after) answer.retry_after = message.retry_after->count();
    answer.leader = leader;
    answer.token = token;
    return version::mesh::encode(answer);
  }

  std::optional<std::string> recode_message(const std::string& bytes) const override {
    const auto read = version::mesh::decode_message(bytes);
    if (!read) return std::nullopt;
    return version::mesh::encode(*read);
  }

  std::optional<std::string> recode_answer(const std::string& bytes) const override {
    const auto read = version::mesh::decode_answer(bytes);
    if (!read) return std::nullopt;
    return version::mesh::encode(*read);
  }
};

}  // namespace

const release& FORMER_RELEASE() {
  static const built_release instance;
  return instance;
}

}  // namespace former_version
