#include "sardinespoke/duration_model.h"

#include "number_range_p.h"

#include <algorithm>
#include <cmath>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Old observations of a queue decay exponentially over this many steps.
constexpr double kForgettingSteps = 100.0;
// For steps without a declared duration.
constexpr milliseconds kDefaultDuration{ 1000 };
// Regularizes the regression: without observations, half of the difference between declared
// durations (as logarithms) is taken as real. The prior weighs as much as this many steps whose
// declarations differ by the factor e.
constexpr double kPriorSlope = 0.5;
constexpr double kPriorWeight = 1.0;
// Clamps an observation to a factor of 5 around the mean, so that one stuck task has little effect.
constexpr double kMaxLogDeviation = 1.6;
// Clamps predictions, so that a stuck task cannot delay a job forever.
constexpr double kMinExpectedMs = 1.0;
constexpr double kMaxExpectedMs = 3600.0 * 1000.0;

double
Logarithm(milliseconds aTime)
{
  return std::log(std::max(static_cast<double>(aTime.count()), 1.0));
}

}

void
DurationModel::Observe(const std::string& aQueue,
                       milliseconds aDeclared,
                       milliseconds aMeasured,
                       double aWeight)
{
  if (aDeclared <= milliseconds(0)) {
    return;
  }
  const double x = Logarithm(aDeclared);
  double y = Logarithm(aMeasured);
  const double keep = std::max(1.0 - aWeight / kForgettingSteps, 0.0);
  RegressionSums& sums = sums_[aQueue];
  if (sums.weight_ > 0.0) {
    const double mean = sums.y_ / sums.weight_;
    y = std::clamp(y, mean - kMaxLogDeviation, mean + kMaxLogDeviation);
  }
  sums.weight_ = sums.weight_ * keep + aWeight;
  sums.x_ = sums.x_ * keep + aWeight * x;
  sums.y_ = sums.y_ * keep + aWeight * y;
  sums.xx_ = sums.xx_ * keep + aWeight * x * x;
  sums.xy_ = sums.xy_ * keep + aWeight * x * y;
  sums.yy_ = sums.yy_ * keep + aWeight * y * y;
}

milliseconds
DurationModel::ExpectedDuration(const Job& aJob, const Step& aStep, uint32_t aStepIndex) const
{
  if (aStep.measured_ > milliseconds(0)) {
    return aStep.measured_;
  }
  const milliseconds declared = aJob.spec_.steps_[aStepIndex].estimate_;
  const milliseconds base = declared > milliseconds(0) ? declared : kDefaultDuration;
  const auto found = sums_.find(aJob.spec_.queue_);
  if (found == sums_.end() || found->second.weight_ <= 0.0) {
    return base;
  }
  const RegressionSums& sums = found->second;
  const double meanX = sums.x_ / sums.weight_;
  const double meanY = sums.y_ / sums.weight_;
  const double spreadX = std::max(sums.xx_ - sums.weight_ * meanX * meanX, 0.0);
  const double spreadY = std::max(sums.yy_ - sums.weight_ * meanY * meanY, 0.0);
  const double common = sums.xy_ - sums.weight_ * meanX * meanY;
  const double slope =
    std::clamp((common + kPriorWeight * kPriorSlope) / (spreadX + kPriorWeight), 0.0, 1.0);
  // The mean of a log-normal distribution exceeds its median by half the variance.
  const double unexplained =
    std::max(spreadY - 2 * slope * common + slope * slope * spreadX, 0.0) / sums.weight_;
  const double expected = std::exp(meanY + slope * (Logarithm(base) - meanX) + unexplained / 2);
  return milliseconds(static_cast<int64_t>(std::clamp(expected, kMinExpectedMs, kMaxExpectedMs)));
}

double
DurationModel::RemainingWork(const Job& aJob) const
{
  double work = 0.0;
  for (const Occurrence& occurrence : aJob.occurrences_) {
    for (uint32_t index = 0; index < occurrence.steps_.size(); ++index) {
      const Step& step = occurrence.steps_[index];
      const auto left = static_cast<double>(step.tasks_.size() - step.done_);
      const auto cores = static_cast<double>(aJob.spec_.steps_[index].cpuMilli_) / 1000.0;
      work +=
        left * cores * static_cast<double>(ExpectedDuration(aJob, step, index).count()) / 1000.0;
    }
  }
  return work;
}

milliseconds
DurationModel::LongestPath(const Job& aJob, bool aOnlyRemaining) const
{
  milliseconds longest{ 0 };
  for (const Occurrence& occurrence : aJob.occurrences_) {
    std::vector<milliseconds> ends(occurrence.steps_.size(), milliseconds(0));
    for (uint32_t index = 0; index < ends.size(); ++index) {
      const Step& step = occurrence.steps_[index];
      milliseconds begin{ 0 };
      for (const uint32_t earlier : aJob.spec_.steps_[index].after_) {
        begin = std::max(begin, ends[earlier]);
      }
      const bool done = aOnlyRemaining && step.done_ == step.tasks_.size();
      ends[index] = begin + (done ? milliseconds(0) : ExpectedDuration(aJob, step, index));
      ends[index] = std::min(ends[index], milliseconds(kDurationRange.max_));
      longest = std::max(longest, ends[index]);
    }
  }
  return longest;
}

milliseconds
DurationModel::RemainingCriticalPath(const Job& aJob) const
{
  return LongestPath(aJob, true);
}

milliseconds
DurationModel::CriticalPath(const Job& aJob) const
{
  return LongestPath(aJob, false);
}

}
