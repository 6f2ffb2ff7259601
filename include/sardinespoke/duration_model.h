#pragma once

#include "sardinespoke/job_table.h"

#include <map>
#include <string>

namespace sardinespoke {

/// Learns how long tasks last.
///
/// Load pattern: declared durations are off by factors, in some queues more than the real durations
/// differ. A regression of the logarithms by queue learns how much a declaration tells; tasks that
/// have finished in the same step say more than it.
class DurationModel
{
public:
  /// Takes over the duration of a task that is done.
  /// @param aWeight Of this observation; the tasks of a step resemble each other and together have
  /// the weight 1.
  void Observe(const std::string& aQueue,
               std::chrono::milliseconds aDeclared,
               std::chrono::milliseconds aMeasured,
               double aWeight);

  /// @returns The expected duration of a task of a step.
  std::chrono::milliseconds Expected(const Job& aJob, const Step& aStep, uint32_t aStepIndex) const;

  /// @returns Core-seconds of the tasks that are not done, in all occurrences that are open.
  double RemainingWork(const Job& aJob) const;

  /// @returns Duration of the longest chain of steps that are not done.
  std::chrono::milliseconds RemainingCriticalPath(const Job& aJob) const;

  /// @returns Duration of the longest chain of all steps.
  std::chrono::milliseconds CriticalPath(const Job& aJob) const;

private:
  /// Weighted sums over the logarithms of declared (x) and measured (y) durations in ms.
  struct RegressionSums
  {
    double weight_ = 0.0;
    double x_ = 0.0;
    double y_ = 0.0;
    double xx_ = 0.0;
    double xy_ = 0.0;
    double yy_ = 0.0;
  };
  std::chrono::milliseconds LongestPath(const Job& aJob, bool aOnlyLeft) const;

  std::map<std::string, RegressionSums> sums_; ///< By queue.
};

}
