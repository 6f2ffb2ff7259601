#include "sardinespoke/wait_order.h"

#include "number_range_p.h"

#include <algorithm>
#include <tuple>

namespace sardinespoke {

namespace {

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

bool
WaitOrder::IsLate(const Job& aJob, TimePoint aNow) const
{
  const auto criticalPath = durations_.CriticalPath(aJob);
  const double stretched =
    std::min(aJob.policy_.stretch_ * static_cast<double>(criticalPath.count()),
             static_cast<double>(kDurationRange.max_));
  const auto objective =
    std::chrono::milliseconds(static_cast<int64_t>(stretched)) + aJob.policy_.latencyTarget_;
  return aNow + durations_.RemainingCriticalPath(aJob) > aJob.accepted_ + objective;
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
      rank.tier_ = IsLate(job, aNow) ? 2 : 1;
      rank.remainingWork_ = durations_.RemainingWork(job);
    }
    ranks.push_back(rank);
  }
  std::sort(ranks.begin(), ranks.end());
  std::transform(
    ranks.begin(), ranks.end(), aWaiting.begin(), [](const Rank& aRank) { return aRank.job_; });
}

}
