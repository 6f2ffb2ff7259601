#pragma once

#include "sardinespoke/duration_model.h"

#include <vector>

namespace sardinespoke {

/// Groups of jobs of equal priority, in the order in which they get capacity.
enum class WaitTier : uint32_t
{
  Continuous, ///< Small jobs that lose value with every second.
  InTime,     ///< Can still meet the objective.
  Late,
  Count
};

/// Position of a waiting job among those of its pool.
struct WaitRank
{
  uint32_t job_ = 0;
  uint32_t priority_ = 0;
  WaitTier tier_ = WaitTier::InTime;
  double remainingWork_ = 0.0; ///< Core-seconds.
  TimePoint lateFrom_{};       ///< A job that has not gone on by then is late.
  /// Need of its smallest waiting task, set by WaitIndex; no part of the order.
  int64_t cpuMilli_ = 0;

  bool operator<(const WaitRank& aOther) const;
};

/// Order in which the waiting jobs of a pool get capacity.
///
/// Load pattern: for some seconds one queue needs several times the capacity of its pool. In order
/// of arrival all its jobs would become late. Jobs are ordered by priority; then jobs with
/// continuous tasks; then jobs that can still meet their objective, least remaining work first;
/// then late jobs, least remaining work first.
class WaitOrder
{
public:
  explicit WaitOrder(const DurationModel& aDurations);

  /// @returns The present position of a job.
  WaitRank RankOf(const JobTable& aJobs, uint32_t aJob, TimePoint aNow) const;

  /// @returns Time from its acceptance in which a job is to be done.
  std::chrono::milliseconds Objective(const Job& aJob) const;

  /// @returns True if the job can no longer finish within its latency objective.
  bool IsLate(const JobTable& aJobs, uint32_t aJob, TimePoint aNow) const;

private:
  /// What the order of a job depends on, besides the time.
  struct Estimate
  {
    uint32_t progress_ = 0; ///< Progress of the job that it was made for.
    TimePoint madeAt_{};
    TimePoint lateFrom_{};
    double remainingWork_ = 0.0;
  };

  /// @returns The estimate of a job, made anew if the job has gone on or some time has passed.
  const Estimate& EstimateOf(const JobTable& aJobs, uint32_t aJob, TimePoint aNow) const;

  const DurationModel& durations_;
  mutable std::vector<Estimate> estimates_; ///< By index of the job.
};

}
