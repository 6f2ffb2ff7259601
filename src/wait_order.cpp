#include "sardinespoke/wait_order.h"

#include "number_range_p.h"

#include <algorithm>
#include <tuple>

namespace sardinespoke {

namespace {

// The durations that a queue has learned change little within this time.
constexpr std::chrono::milliseconds kEstimateAge{ 250 };

}

bool
WaitRank::operator<(const WaitRank& aOther) const
{
  return std::tie(priority_, tier_, remainingWork_, job_) <
         std::tie(aOther.priority_, aOther.tier_, aOther.remainingWork_, aOther.job_);
}

WaitOrder::WaitOrder(const DurationModel& aDurations)
  : durations_(aDurations)
{
}

std::chrono::milliseconds
WaitOrder::Objective(const Job& aJob) const
{
  const double stretched =
    std::min(aJob.policy_.stretch_ * static_cast<double>(durations_.CriticalPath(aJob).count()),
             static_cast<double>(kDurationRange.max_));
  return std::chrono::milliseconds(static_cast<int64_t>(stretched)) + aJob.policy_.latencyTarget_;
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
  known.progress_ = job.progress_;
  known.madeAt_ = aNow;
  known.lateFrom_ = job.accepted_ + Objective(job) - durations_.RemainingCriticalPath(job);
  known.remainingWork_ = durations_.RemainingWork(job);
  return known;
}

bool
WaitOrder::IsLate(const JobTable& aJobs, uint32_t aJob, TimePoint aNow) const
{
  return aNow > EstimateOf(aJobs, aJob, aNow).lateFrom_;
}

WaitRank
WaitOrder::RankOf(const JobTable& aJobs, uint32_t aJob, TimePoint aNow) const
{
  const Job& job = aJobs.At(aJob);
  WaitRank rank;
  rank.job_ = aJob;
  rank.priority_ = job.policy_.priority_;
  rank.lateFrom_ = TimePoint::max();
  if (job.HasContinuousSteps()) {
    rank.tier_ = WaitTier::Continuous;
    return rank;
  }
  const Estimate& estimate = EstimateOf(aJobs, aJob, aNow);
  rank.tier_ = aNow > estimate.lateFrom_ ? WaitTier::Late : WaitTier::InTime;
  rank.remainingWork_ = estimate.remainingWork_;
  rank.lateFrom_ = estimate.lateFrom_;
  return rank;
}

}
