#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sardinespoke {

/// A child process of a test; the destructor kills it.
class ChildProcess
{
public:
  ChildProcess() = default;
  ~ChildProcess();
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Starts a program.
  /// @param aProgram Path of the executable.
  /// @param aLogFile File that receives standard output and error.
  static ChildProcess Start(const std::string& aProgram,
                            const std::vector<std::string>& aArguments,
                            const std::string& aLogFile);

  /// Sends a signal to the process if it runs.
  void Signal(int aSignal) const;

  /// Waits until the process exits.
  /// @returns The exit code; 128 + signal if a signal ended it; -1 if it still runs.
  int Wait(std::chrono::milliseconds aLimit);

  bool IsRunning();

  pid_t Pid() const { return pid_; }

private:
  pid_t pid_ = 0;
  int exitCode_ = -1;
};

}
