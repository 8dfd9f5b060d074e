#pragma once

#include <sys/types.h>

#include <string>

namespace gingerdrift::testing {

/// A controller process on this machine. Its destructor kills the process. Only processes that an
/// object of this class started are signalled, by their process id.
class controller_process {
 public:
  /// `program`: path of the controller's binary. `settings_file` is read at each start. The log of
  /// all starts is appended to `log_file`.
  controller_process(std::string program, std::string settings_file, std::string log_file);
  ~controller_process() { kill(); }
  controller_process(const controller_process&) = delete;
  controller_process& operator=(const controller_process&) = delete;

  /// Starts the process unless it is running. Throws std::system_error if that fails.
  void start();
  /// Kills the process without warning and waits for its end.
  void kill();
  /// Suspends the process, while its clocks continue.
  void pause();
  /// Resumes a suspended process.
  void resume();
  /// Reports whether the process has ended although it was not killed.
  bool ended_by_itself();

 private:
  std::string program_;
  std::string settings_file_;
  std::string log_file_;
  pid_t process_ = 0;  // 0: not started, or killed
  bool ended_by_itself_ = false;
};

}  // namespace gingerdrift::testing
