#include "sardinespoke/wait_order.h"

#include <algorithm>
#include <tuple>

namespace sardinespoke {

namespace {

struct Rank
{
  uint32_t job_ = 0;
  uint32_t priority_ = 0;
  uint32_t stage_ = 0; ///< 0: lasting, 1: can be in time, 2: late.
  double workLeft_ = 0.0;

  bool operator<(const Rank& aOther) const
  {
    return std::tie(priority_, stage_, workLeft_, job_) <
           std::tie(aOther.priority_, aOther.stage_, aOther.workLeft_, aOther.job_);
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
  const auto chain = durations_.WholeChain(aJob);
  const auto stretched = std::chrono::milliseconds(
    static_cast<int64_t>(aJob.policy_.stretch_ * static_cast<double>(chain.count())));
  const auto objective = stretched + aJob.policy_.latencyTarget_;
  return aNow + durations_.ChainLeft(aJob) > aJob.accepted_ + objective;
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
      rank.stage_ = IsLate(job, aNow) ? 2 : 1;
      rank.workLeft_ = durations_.WorkLeft(job);
    }
    ranks.push_back(rank);
  }
  std::sort(ranks.begin(), ranks.end());
  std::transform(
    ranks.begin(), ranks.end(), aWaiting.begin(), [](const Rank& aRank) { return aRank.job_; });
}

}
