#include "sardinespoke/wait_order.h"

#include "number_range_p.h"

#include <algorithm>
#include <tuple>

namespace sardinespoke {

namespace {

// The durations that a queue has learned change little within this time.
constexpr std::chrono::milliseconds kEstimateAge{ 250 };

struct Rank
{
  uint32_t job_ = 0;
  uint32_t priority_ = 0;
  uint32_t tier_ = 0; ///< 0: continuous, 1: can meet its objective, 2: late.
  double remainingWork_ = 0.0;

  bool operator<(const Rank& aOther) const
  {
    return std::tie(priority_, tier_, remainingWork_, job_) <
           std::tie(aOther.priority_, aOther.tier_, aOther.remainingWork_, aOther.job_);
  }
};

}

WaitOrder::WaitOrder(const DurationModel& aDurations)
  : durations_(aDurations)
{
}

const WaitOrder::Estimate&
WaitOrder::EstimateOf(const JobTable& aJobs, uint32_t aJob, TimePoint aNow) const
{
  if (aJob >= estimates_.size()) {
    estimates_.resize(aJob + 1);
  }
  const Job& job = aJobs.At(aJob);
  Estimate& known = estimates_[aJob];
  if (known.madeAt_ != TimePoint{} && known.progress_ == job.progress_ &&
      aNow - known.madeAt_ < kEstimateAge) {
    return known;
  }
  const double stretched =
    std::min(job.policy_.stretch_ * static_cast<double>(durations_.CriticalPath(job).count()),
             static_cast<double>(kDurationRange.max_));
  const auto objective =
    std::chrono::milliseconds(static_cast<int64_t>(stretched)) + job.policy_.latencyTarget_;
  known.progress_ = job.progress_;
  known.madeAt_ = aNow;
  known.lateFrom_ = job.accepted_ + objective - durations_.RemainingCriticalPath(job);
  known.remainingWork_ = durations_.RemainingWork(job);
  return known;
}

bool
WaitOrder::IsLate(const JobTable& aJobs, uint32_t aJob, TimePoint aNow) const
{
  return aNow > EstimateOf(aJobs, aJob, aNow).lateFrom_;
}

void
WaitOrder::Sort(const JobTable& aJobs, TimePoint aNow, std::vector<uint32_t>& aWaiting) const
{
  std::vector<Rank> ranks;
  ranks.reserve(aWaiting.size());
  for (const uint32_t index : aWaiting) {
    const Job& job = aJobs.At(index);
    Rank rank{ index, job.policy_.priority_, 0, 0.0 };
    if (!job.HasContinuousSteps()) {
      const Estimate& estimate = EstimateOf(aJobs, index, aNow);
      rank.tier_ = aNow > estimate.lateFrom_ ? 2 : 1;
      rank.remainingWork_ = estimate.remainingWork_;
    }
    ranks.push_back(rank);
  }
  std::sort(ranks.begin(), ranks.end());
  std::transform(
    ranks.begin(), ranks.end(), aWaiting.begin(), [](const Rank& aRank) { return aRank.job_; });
}

}
