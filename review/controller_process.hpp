#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace review {

/// A controller, started with the command of the deploy file. Only processes that objects of this
/// class started are signalled, by their process id; the destructor ends the process.
class controller_process {
 public:
  /// `command`: the program and its arguments.
  controller_process(std::vector<std::string> command, std::string log_file);
  ~controller_process() { kill(); }
  controller_process(const controller_process&) = delete;
  controller_process& operator=(const controller_process&) = delete;

  void start();
  /// Ends the process without warning.
  void kill();
  bool is_running();

 private:
  std::vector<std::string> command_;
  std::string log_file_;
  pid_t process_ = 0;  // 0: not started, or ended
};

}  // namespace review
