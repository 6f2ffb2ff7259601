#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace sardinespoke {

ChildProcess::~ChildProcess()
{
  if (!IsRunning()) {
    return;
  }
  // A process paused by SIGSTOP may not be reaped until it is continued.
  Signal(SIGKILL);
  Signal(SIGCONT);
  constexpr std::chrono::seconds kKillLimit{ 10 };
  Wait(kKillLimit);
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : pid_(std::exchange(aOther.pid_, 0))
  , exitCode_(std::exchange(aOther.exitCode_, -1))
{
}

ChildProcess&
ChildProcess::operator=(ChildProcess&& aOther) noexcept
{
  std::swap(pid_, aOther.pid_);
  std::swap(exitCode_, aOther.exitCode_);
  return *this;
}

ChildProcess
ChildProcess::Start(const std::string& aProgram,
                    const std::vector<std::string>& aArguments,
                    const std::string& aLogFile)
{
  std::vector<char*> arguments{ const_cast<char*>(aProgram.c_str()) };
  for (const auto& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  ChildProcess child;
  const int result =
    posix_spawn(&child.pid_, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    child.pid_ = 0;
  }
  return child;
}

void
ChildProcess::Signal(int aSignal) const
{
  if (pid_ > 0) {
    kill(pid_, aSignal);
  }
}

int
ChildProcess::Wait(std::chrono::milliseconds aLimit)
{
  const auto deadline = std::chrono::steady_clock::now() + aLimit;
  constexpr std::chrono::milliseconds kPoll{ 5 };
  while (IsRunning() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kPoll);
  }
  return exitCode_;
}

bool
ChildProcess::IsRunning()
{
  if (pid_ <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return true;
  }
  pid_ = 0;
  constexpr int kSignalBase = 128;
  exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  return false;
}

}
