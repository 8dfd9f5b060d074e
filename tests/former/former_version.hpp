#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

/// Former versions of the service, built from the repository's history, each in its own namespace,
/// so that tests can run them together with the current version. The declarations here do not
/// depend on the types of any version.
namespace former_version {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// An HTTP request, with the fields that all versions share.
struct request {
  std::string method;
  std::string target;
  std::string body;
};
/// An HTTP response, with the fields that all versions share. Status 0 means that there was no
/// answer.
struct response {
  int status = 0;
  std::string body;
  std::optional<std::chrono::seconds> retry_after;
  bool close = false;
};
using reply_fn = std::function<void(response)>;

/// Provides the clock, timers and outgoing calls to a controller.
class host {
 public:
  virtual ~host() = default;
  virtual time_point now() = 0;
  virtual std::chrono::system_clock::time_point wall_now() = 0;
  virtual std::uint64_t after(duration delay, std::function<void()> action) = 0;
  virtual void cancel(std::uint64_t timer) = 0;
  virtual void call(const std::string& address, request message, duration deadline,
                    reply_fn done) = 0;
};

/// A controller of a former version.
class controller {
 public:
  virtual ~controller() = default;
  virtual void start() = 0;
  virtual void handle_front(const request& message, const reply_fn& reply) = 0;
  virtual void handle_mesh(const request& message, const reply_fn& reply) = 0;
  virtual bool leads() const = 0;
};

/// The operations of a former version that tests use.
class release {
 public:
  virtual ~release() = default;
  virtual std::string name() const = 0;
  /// Reports whether the version accepts jobs with dependencies once all controllers support them.
  virtual bool supports_dependencies() const = 0;
  /// Reports whether the version reads and preserves the time from which the age of a job is
  /// counted after its dependencies are done.
  virtual bool keeps_ready_time() const = 0;

  /// Creates a controller. `settings_file` is the path of the platform settings in the format of
  /// the version.
  virtual std::unique_ptr<controller> make_controller(host& on, const std::string& settings_file,
                                                      duration pass_interval,
                                                      std::uint64_t seed) const = 0;

  /// Reads a head record and returns it as the version would write it, or nullopt if the version
  /// cannot read it. `parts` are the values of its part keys, in order; `rewritten_parts` receives
  /// the rewritten parts.
  virtual std::optional<std::string> rewrite_head(
      const std::string& record, const std::vector<std::string>& parts,
      std::vector<std::string>& rewritten_parts) const = 0;
  /// Returns the head record that the version creates when it accepts a submission with this body.
  virtual std::string accept(const std::string& submission, std::int64_t created_ms,
                             double value_kb) const = 0;
  /// Reads a final record and returns it as the version would write it, or nullopt if the version
  /// cannot read it.
  virtual std::optional<std::string> rewrite_final(const std::string& record) const = 0;
  /// Returns the jobs that the version reads from a record of the placement log.
  virtual std::vector<std::string> read_log_jobs(const std::string& key,
                                                 const std::string& record) const = 0;

  // Messages between controllers, as the version encodes them.

  virtual std::string encode_heartbeat(const std::string& node) const = 0;
  virtual std::string encode_new_job(const std::string& node, const std::string& job) const = 0;
  virtual std::string encode_user_request(const std::string& node,
                                          const request& message) const = 0;
  virtual std::string encode_answer(const response& message, const std::string& leader,
                                    std::uint64_t token) const = 0;
  /// Decodes a message and encodes it again; nullopt if the version rejects the bytes.
  virtual std::optional<std::string> recode_message(const std::string& bytes) const = 0;
  /// Decodes an answer and encodes it again; nullopt if the version rejects the bytes.
  virtual std::optional<std::string> recode_answer(const std::string& bytes) const = 0;
};

/// Returns the version that the key `production` in deploy/service.toml names.
const release& production();
/// Returns the last version without support for dependencies. Its commit is pinned in
/// CMakeLists.txt.
const release& before_dependencies();

/// Returns all former versions that tests run.
inline std::vector<const release*> all_releases() {
  return {&production(), &before_dependencies()};
}

/// Makes GoogleTest print a release parameter by its name instead of its address.
inline void PrintTo(const release* printed, std::ostream* out) { *out << printed->name(); }

}  // namespace former_version
