#include "sardinespoke/overload_policy.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// A late job earns its caller something until it takes this multiple of its objective.
constexpr int kWorthlessFactor = 3;
// A pool may grow to about twice its size by moved hosts while a burst lasts. Durations that are
// learned are uncertain as well, and a refusal must be certain.
constexpr double kGrowthFactor = 2.0;
constexpr double kLeastRateShare = 0.2;
constexpr milliseconds kLeastRetry{ 1000 };
// Callers that must wait for longer ask again by themselves; a burst is over by then.
constexpr milliseconds kLongestRetry{ 30000 };

Seconds
TimeToWork(double aCoreSeconds, double aCores)
{
  constexpr double kLeastCores = 0.001;
  return Seconds(aCoreSeconds / std::max(aCores, kLeastCores));
}

/// @returns Core-seconds a second that the pool works with so many cores.
double
WorkRate(const SubmissionLoad& aLoad, double aCores)
{
  // A pool that started little had little to start, or was full of long tasks.
  const double least = aCores * kLeastRateShare;
  return aLoad.startedPerSecond_ ? std::clamp(*aLoad.startedPerSecond_, least, aCores) : aCores;
}

}

bool
OverloadPolicy::IsHopeless(const SubmissionLoad& aLoad)
{
  // A pool without a usable server has lost contact with them, or is about to get some.
  if (aLoad.cores_ <= 0.0 || aLoad.objective_ <= milliseconds(0)) {
    return false;
  }
  const double cores = aLoad.cores_ * kGrowthFactor;
  const double rate = WorkRate(aLoad, cores);
  const auto path = std::max<Seconds>(aLoad.criticalPath_, TimeToWork(aLoad.work_, cores));
  const bool isInTime = aLoad.arrivingAhead_ <= rate &&
                        TimeToWork(aLoad.workAhead_, rate) + path <= Seconds(aLoad.objective_);
  if (isInTime) {
    return false;
  }
  const double rateLeft = std::max(rate - aLoad.arrivingAhead_, rate * kLeastRateShare);
  const auto finish = TimeToWork(aLoad.workAhead_ + aLoad.lateWorkAhead_, rateLeft) + path;
  return finish > Seconds(aLoad.objective_ * kWorthlessFactor);
}

milliseconds
OverloadPolicy::RetryAfter(const SubmissionLoad& aLoad,
                           const std::string& aPool,
                           TenantUsage::Id aTenant,
                           double aShare,
                           TimePoint aNow)
{
  if (!IsHopeless(aLoad)) {
    return milliseconds(0);
  }
  const auto wait = std::chrono::duration_cast<milliseconds>(
    TimeToWork(aLoad.workAhead_ + aLoad.lateWorkAhead_, WorkRate(aLoad, aLoad.cores_)) -
    Seconds(aLoad.objective_ - aLoad.criticalPath_));
  TimePoint& next = nextReturn_[{ aPool, aTenant }];
  const TimePoint earliest = aNow + std::clamp(wait, kLeastRetry, kLongestRetry);
  const TimePoint place = std::clamp(next, earliest, aNow + kLongestRetry);
  next = place + std::chrono::duration_cast<TimePoint::duration>(
                   TimeToWork(aLoad.work_, WorkRate(aLoad, aLoad.cores_) * aShare));
  return std::chrono::ceil<milliseconds>(place - aNow);
}

}
