#include "soak/controller_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace gingerdrift::testing {

namespace {

constexpr int log_file_mode = 0644;
constexpr int exit_not_started = 127;

/// Replaces the current process, a child that was just forked. Calls only functions that are safe
/// between fork() and exec().
[[noreturn]] void execute(const char* program, const char* settings_file, int log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the test is killed itself
  dup2(log, STDERR_FILENO);
  execl(program, program, "--config", settings_file, static_cast<char*>(nullptr));
  _exit(exit_not_started);
}

}  // namespace

controller_process::controller_process(std::string program, std::string settings_file,
                                       std::string log_file)
    : program_(std::move(program)),
      settings_file_(std::move(settings_file)),
      log_file_(std::move(log_file)) {}

void controller_process::start() {
  if (process_ != 0) return;
  const int log = open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_file_mode);
  if (log < 0) throw std::system_error(errno, std::generic_category(), log_file_);
  const pid_t child = fork();
  if (child == 0) execute(program_.c_str(), settings_file_.c_str(), log);
  close(log);
  if (child < 0) throw std::system_error(errno, std::generic_category(), "fork");
  process_ = child;
}

void controller_process::kill() {
  if (process_ == 0) return;
  ended_by_itself();
  if (process_ == 0) return;
  ::kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
  process_ = 0;
}

void controller_process::pause() {
  if (process_ != 0) ::kill(process_, SIGSTOP);
}

void controller_process::resume() {
  if (process_ != 0) ::kill(process_, SIGCONT);
}

bool controller_process::ended_by_itself() {
  if (process_ != 0 && waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = 0;
    ended_by_itself_ = true;
  }
  return ended_by_itself_;
}

}  // namespace gingerdrift::testing
