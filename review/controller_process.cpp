#include "controller_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace review {

controller_process::controller_process(std::vector<std::string> command, std::string log_file)
    : command_(std::move(command)), log_file_(std::move(log_file)) {}

void controller_process::start() {
  if (process_ != 0) return;
  std::vector<char*> arguments;
  for (auto& word : command_) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const int log = open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the case itself is killed
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  close(log);
  if (child < 0) throw std::runtime_error("fork failed");
  process_ = child;
}

void controller_process::kill() {
  if (process_ == 0) return;
  ::kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
  process_ = 0;
}

bool controller_process::is_running() {
  if (process_ != 0 && waitpid(process_, nullptr, WNOHANG) == process_) process_ = 0;
  return process_ != 0;
}

}  // namespace review
