#include "sardinespoke/duration_model.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Samples over which the mean ratio of a queue forgets.
constexpr double kWindow = 200.0;
// Bounds one sample, so that a stuck task or a declared millisecond cannot move the mean far.
constexpr double kMaxRatio = 5.0;
constexpr double kMinRatio = 0.1;
// Used when nothing is declared.
constexpr milliseconds kUndeclared{ 1000 };

}

void
DurationModel::Observe(const std::string& aQueue, milliseconds aDeclared, milliseconds aMeasured)
{
  if (aDeclared <= milliseconds(0)) {
    return;
  }
  const double ratio =
    std::clamp(static_cast<double>(aMeasured.count()) / static_cast<double>(aDeclared.count()),
               kMinRatio,
               kMaxRatio);
  Ratio& known = ratios_[aQueue];
  ++known.samples_;
  known.mean_ += (ratio - known.mean_) / std::min<double>(known.samples_, kWindow);
}

milliseconds
DurationModel::Expected(const Job& aJob, const Step& aStep, uint32_t aStepIndex) const
{
  if (aStep.measured_ > milliseconds(0)) {
    return aStep.measured_;
  }
  const milliseconds declared = aJob.spec_.steps_[aStepIndex].estimate_;
  const auto known = ratios_.find(aJob.spec_.queue_);
  const double ratio = known == ratios_.end() ? 1.0 : known->second.mean_;
  const milliseconds base = declared > milliseconds(0) ? declared : kUndeclared;
  return milliseconds(static_cast<int64_t>(static_cast<double>(base.count()) * ratio));
}

double
DurationModel::WorkLeft(const Job& aJob) const
{
  double work = 0.0;
  for (const Occurrence& occurrence : aJob.occurrences_) {
    for (uint32_t index = 0; index < occurrence.steps_.size(); ++index) {
      const Step& step = occurrence.steps_[index];
      const auto left = static_cast<double>(step.tasks_.size() - step.done_);
      const auto cores = static_cast<double>(aJob.spec_.steps_[index].cpuMilli_) / 1000.0;
      work += left * cores * static_cast<double>(Expected(aJob, step, index).count()) / 1000.0;
    }
  }
  return work;
}

milliseconds
DurationModel::Chain(const Job& aJob, bool aOnlyLeft) const
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
      const bool done = aOnlyLeft && step.done_ == step.tasks_.size();
      ends[index] = begin + (done ? milliseconds(0) : Expected(aJob, step, index));
      longest = std::max(longest, ends[index]);
    }
  }
  return longest;
}

milliseconds
DurationModel::ChainLeft(const Job& aJob) const
{
  return Chain(aJob, true);
}

milliseconds
DurationModel::WholeChain(const Job& aJob) const
{
  return Chain(aJob, false);
}

}
