#pragma once

#include <chrono>
#include <cstdint>

namespace sardinespoke {

/// What is known when a backend server has crashed and a task was in question: it had begun there
/// or may have begun, and had not worked long enough to be proven harmless.
struct CrashEvidence
{
  uint32_t crashes_ = 0;    ///< Crashes while the task was in question, this one included.
  uint32_t inQuestion_ = 1; ///< Tasks that were in question on the backend server; 1: it alone.
  bool isWeak_ = false;     ///< Something else may explain it, such as the loss of a rack.
  /// The task is continuous: it is restarted however often it ends, and its job never fails.
  bool isContinuous_ = false;
  /// Chance that a sound task has crashes on trial like those of this task.
  double doubt_ = 1.0;
};

enum class CrashVerdict
{
  Suspect, ///< It is tried again, apart from others.
  GivenUp, ///< Its job fails.
  Count
};

/// Decides which tasks crash their backend servers. Without state, input and output.
class CrashSuspects
{
public:
  /// A run that has worked for this long on its backend server's clock is not in question.
  static constexpr std::chrono::milliseconds kTrialTime{ 300 };
  /// A run that has worked for this long clears its task of earlier crashes.
  static constexpr std::chrono::milliseconds kClearTime{ 3000 };

  /// Highest chance with which a sound task is given up before the last crash that any task may
  /// have.
  static constexpr double kMostDoubt = 1e-5;

  static CrashVerdict Judge(const CrashEvidence& aEvidence);

  /// @param aWorked Time since the start of the run was confirmed.
  static bool IsProven(std::chrono::milliseconds aWorked) { return aWorked >= kTrialTime; }
  static bool IsCleared(std::chrono::milliseconds aWorked) { return aWorked >= kClearTime; }

  /// @returns The number of backend servers of a pool that may be kept for suspects at once.
  static uint32_t MostTrials(uint32_t aPoolSize);
};

}
