#pragma once

#include "sardinespoke/job_table.h"

#include <map>
#include <string>

namespace sardinespoke {

/// Predicts the durations of tasks.
///
/// Load pattern: declared durations are wrong by large factors; in some queues the error exceeds
/// the variation of the real durations. For each queue, a linear regression of the logarithms of
/// measured on declared durations learns how much the declarations tell. The measured durations of
/// finished tasks of the same step take precedence.
class DurationModel
{
public:
  /// Adds the measured duration of a finished task.
  /// @param aWeight Weight of this observation. Tasks of a step resemble each other, so that their
  /// weights add up to 1.
  void Observe(const std::string& aQueue,
               std::chrono::milliseconds aDeclared,
               std::chrono::milliseconds aMeasured,
               double aWeight);

  /// @returns The expected duration of a task of a step.
  std::chrono::milliseconds ExpectedDuration(const Job& aJob,
                                             const Step& aStep,
                                             uint32_t aStepIndex) const;

  /// @returns Core-seconds expected for the unfinished tasks in all open occurrences.
  double RemainingWork(const Job& aJob) const;

  /// @returns Time expected for the longest chain of dependent steps, without finished steps.
  std::chrono::milliseconds RemainingCriticalPath(const Job& aJob) const;

  /// @returns Time expected for the longest chain of dependent steps, with finished steps.
  std::chrono::milliseconds CriticalPath(const Job& aJob) const;

private:
  /// Weighted sums over the logarithms of the declared (x) and measured (y) durations in ms.
  struct RegressionSums
  {
    double weight_ = 0.0;
    double x_ = 0.0;
    double y_ = 0.0;
    double xx_ = 0.0;
    double xy_ = 0.0;
    double yy_ = 0.0;
  };
  std::chrono::milliseconds LongestPath(const Job& aJob, bool aOnlyRemaining) const;

  std::map<std::string, RegressionSums> sums_; ///< By queue.
};

}
