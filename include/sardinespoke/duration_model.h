#pragma once

#include "sardinespoke/job_table.h"

#include <map>
#include <string>

namespace sardinespoke {

/// Learns how long tasks last. Declared durations are far off by kind of work, so a queue's mean
/// ratio of measured to declared time corrects them; tasks that have finished in the same step say
/// more than either.
class DurationModel
{
public:
  /// Takes over the duration of a task that is done.
  void Observe(const std::string& aQueue,
               std::chrono::milliseconds aDeclared,
               std::chrono::milliseconds aMeasured);

  /// @returns The expected duration of a task of a step.
  std::chrono::milliseconds Expected(const Job& aJob, const Step& aStep, uint32_t aStepIndex) const;

  /// @returns Core-seconds of the tasks that are not done, in all occurrences that are open.
  double WorkLeft(const Job& aJob) const;

  /// @returns Duration of the longest chain of steps that are not done.
  std::chrono::milliseconds ChainLeft(const Job& aJob) const;

  /// @returns Duration of the longest chain of all steps.
  std::chrono::milliseconds WholeChain(const Job& aJob) const;

private:
  struct Ratio
  {
    double mean_ = 1.0;
    uint32_t samples_ = 0;
  };
  std::chrono::milliseconds Chain(const Job& aJob, bool aOnlyLeft) const;

  std::map<std::string, Ratio> ratios_;
};

}
